"""Small stand-ins of the platform and of upstreams, for demo, tests and bench."""
