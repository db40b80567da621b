"""Orders to engines: what to load and which role to take."""
