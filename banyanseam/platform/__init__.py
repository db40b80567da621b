"""The users' platform: its names, formats and calls, decoded into the entry's types."""
