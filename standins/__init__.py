"""Stand-ins for the platform, upstreams and callers, for tests and demonstrations."""
