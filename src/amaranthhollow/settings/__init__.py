"""Settings of one process, checked with file, line and key."""

from __future__ import annotations

__all__: list[str] = []
