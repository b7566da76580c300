"""The clock of deadlines, leases and freshness."""

from __future__ import annotations

import time

__all__ = ["now"]


def now() -> float:
    """Return seconds on a steady clock that counts suspension of the host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
