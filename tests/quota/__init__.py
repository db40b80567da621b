"""Tests of quota."""
