"""The daemon: composition, lifecycle and state dump."""

from __future__ import annotations

__all__: list[str] = []
