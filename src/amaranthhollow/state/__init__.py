"""State shared by daemons: claims, configuration, leases and listed endpoints."""

from __future__ import annotations

__all__: list[str] = []
