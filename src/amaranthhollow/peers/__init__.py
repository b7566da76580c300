"""Links between daemons over Cap'n Proto."""

from __future__ import annotations

__all__: list[str] = []
