"""Pure decision code: events and an instant in, new state and actions out."""

from __future__ import annotations

__all__: list[str] = []
