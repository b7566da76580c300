"""Composes the daemon of an entry host on the users' platform."""

from __future__ import annotations

__all__: list[str] = []
