"""Which software version began a stream, so that it goes on at the same one."""
