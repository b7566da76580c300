"""Decision logic without I/O: maps events and the time to new state and actions."""

from __future__ import annotations

__all__: list[str] = []
