"""State charts of requests, endpoints, daemons and submissions, as YAML files."""

from __future__ import annotations

__all__: list[str] = []
