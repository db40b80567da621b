"""Tests of idempotency."""
