"""Base configuration and site overlays that operators submit."""

from __future__ import annotations

__all__: list[str] = []
