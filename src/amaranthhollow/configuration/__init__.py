"""The operators' base configuration and its site overlays."""

from __future__ import annotations

__all__: list[str] = []
