"""Settings files, checked with file, line and key of each finding."""

from __future__ import annotations

__all__: list[str] = []
