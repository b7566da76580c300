"""Adapter to the surrounding platform: its header names, wire formats and APIs."""

from __future__ import annotations

__all__: list[str] = []
