"""Stand-ins and helpers of the second review's scripts; not part of the product or of CI."""
