"""What daemons agree on and keep: claims, configuration and leases."""

from __future__ import annotations

__all__: list[str] = []
