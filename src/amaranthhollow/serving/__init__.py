"""Passes a caller's request to an endpoint and the answer back."""

from __future__ import annotations

__all__: list[str] = []
