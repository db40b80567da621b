"""Measurements, each a short script on shared helpers."""
