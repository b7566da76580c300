"""Monotonic clock for deadlines, leases and ages."""

from __future__ import annotations

import time

__all__ = ["now"]


def now() -> float:
    """Return monotonic seconds, including time while the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
