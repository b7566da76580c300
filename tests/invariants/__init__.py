"""Invariants of the whole system, tested with real processes."""
