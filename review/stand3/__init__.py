"""Stand-ins of the third review."""
