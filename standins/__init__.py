"""Small stand-ins for platform, upstreams and callers, for tests and demonstrations."""
