"""HTTP servers for callers and operators."""
