"""Tests of the containment of poison requests."""
