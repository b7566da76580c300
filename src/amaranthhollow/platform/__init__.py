"""Adapter to the users' platform: names, wire formats and calls, without decisions."""

from __future__ import annotations

__all__: list[str] = []
