"""Adapter to the users' platform: names, wire formats and calls; it decides nothing."""

from __future__ import annotations

__all__: list[str] = []
