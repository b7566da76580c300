"""Shared state in the key-value service: claims, configuration and leases."""

from __future__ import annotations

__all__: list[str] = []
