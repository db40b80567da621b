"""Tests of pipe."""
