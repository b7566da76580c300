"""The daemon: its composition, lifecycle, background tasks and state dump."""

from __future__ import annotations

__all__: list[str] = []
