"""The operators' bound on endpoints that fall over for what they have to reject."""

from __future__ import annotations

__all__ = ["allowed_falls"]

ALWAYS_ALLOWED = 2
ALLOWED_SHARE = 0.1


def allowed_falls(endpoint_count: int) -> float:
    """Return how often the endpoints of a service may fall over in one brittle time."""
    return ALWAYS_ALLOWED + ALLOWED_SHARE * endpoint_count
