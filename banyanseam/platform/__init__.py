"""The platform's names, formats and calls, decoded into the entry daemon's types."""
