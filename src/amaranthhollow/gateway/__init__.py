"""The HTTP API for callers."""

from __future__ import annotations

__all__: list[str] = []
