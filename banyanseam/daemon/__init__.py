"""The daemon's composition and life cycle."""
