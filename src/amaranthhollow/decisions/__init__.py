"""Decision logic without I/O: takes events and a time, returns state and actions."""

from __future__ import annotations

__all__: list[str] = []
