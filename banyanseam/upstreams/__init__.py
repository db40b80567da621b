"""Choosing, filling and watching upstreams."""
