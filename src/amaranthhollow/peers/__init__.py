"""Messages between daemons: Cap'n Proto calls and MessagePack datagrams."""

from __future__ import annotations

__all__: list[str] = []
