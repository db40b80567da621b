"""Contain requests that crash the upstreams which run them."""
