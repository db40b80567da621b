"""Tests of observe."""
