"""Requests that crash the upstreams which run them."""
