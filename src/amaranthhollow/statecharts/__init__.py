"""State charts as YAML files."""

from __future__ import annotations

__all__: list[str] = []
