"""Examples that run on one machine."""
