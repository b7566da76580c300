"""HTTP clients of endpoints: model engines and plain services."""

from __future__ import annotations

__all__: list[str] = []
