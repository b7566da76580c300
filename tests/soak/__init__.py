"""Soak test: daemons run as processes while faults are injected."""
