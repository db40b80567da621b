"""Checks of a configuration before it is published; a daemon never runs them."""
