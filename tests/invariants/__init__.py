"""What must always hold, brought about with real processes."""
