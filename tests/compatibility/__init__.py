"""Hosts of several versions side by side."""
