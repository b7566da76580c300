"""Tests of the shared state."""
