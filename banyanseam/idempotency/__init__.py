"""At-most-once execution: tickets and remembered results."""
