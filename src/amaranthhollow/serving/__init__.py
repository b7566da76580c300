"""Forwards HTTP requests of callers to endpoints and relays the responses."""

from __future__ import annotations

__all__: list[str] = []
