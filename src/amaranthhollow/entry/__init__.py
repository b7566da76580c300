"""The daemon of an entry host: routing, peering and leader duties."""

from __future__ import annotations

__all__: list[str] = []
