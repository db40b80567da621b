"""Tests of server."""
