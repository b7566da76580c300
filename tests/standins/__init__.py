"""Stand-ins for the external systems; each runs as a separate process."""
