"""A fault soak: daemons as processes, under faults from outside."""
