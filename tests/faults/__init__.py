"""Tests of faults."""
