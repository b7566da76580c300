"""The daemon of an entry host: forwarding, peering and singleton duties."""

from __future__ import annotations

__all__: list[str] = []
