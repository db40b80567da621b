"""Upstreams that this VM or a peer can't connect to, although others may."""
