"""Computes a wall-clock time that all hosts agree on.

Each host reads its wall clock once, at its start, and then adds the time of its
monotonic clock, so a later step of the wall clock has no effect. The median over all
hosts corrects a host that started with a wrong clock.
"""

from __future__ import annotations

__all__ = ["SiteClock"]


class SiteClock:
    """Converts monotonic time to seconds since the Unix epoch."""

    def __init__(self, wall_time: float, monotonic_time: float) -> None:
        """Start from the wall clock as read at ``monotonic_time``."""
        self._local_offset = wall_time - monotonic_time
        self._offsets_by_host: dict[str, float] = {}

    def local_wall_time(self, monotonic_time: float) -> float:
        """Return the time by this host's own wall clock, as sent to peers."""
        return monotonic_time + self._local_offset

    def wall_time(self, monotonic_time: float) -> float:
        """Return the time that the hosts agree on."""
        offsets = sorted([self._local_offset, *self._offsets_by_host.values()])
        below, above = offsets[(len(offsets) - 1) // 2], offsets[len(offsets) // 2]
        return monotonic_time + (below + above) / 2

    def observe(self, host: str, wall_time: float, monotonic_time: float) -> None:
        """Record a peer's wall clock as read at ``monotonic_time`` of this host."""
        self._offsets_by_host[host] = wall_time - monotonic_time

    def forget(self, host: str) -> None:
        """Remove a peer from the median."""
        self._offsets_by_host.pop(host, None)
