"""Tests of the request pipeline."""
