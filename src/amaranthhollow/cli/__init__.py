"""The operators' tool ``amaranthhollow``."""

from __future__ import annotations

__all__: list[str] = []
