"""Measurements: each is a command that prints figures."""
