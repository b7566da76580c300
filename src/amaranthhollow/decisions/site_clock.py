"""The time of day that all hosts agree on, whatever a single host's clock does.

Each host reads its clock of day once, at its start, and counts from there on its steady
clock; a later step of the clock of day does not move it. The median over all hosts
corrects one that started with a wrong clock.
"""

from __future__ import annotations

from statistics import median

__all__ = ["SiteClock"]


class SiteClock:
    """Instants since 1970, in seconds, from those of a steady clock."""

    def __init__(self, wall_time: float, monotonic_time: float) -> None:
        """Start from the clock of day as read at ``monotonic_time``."""
        self._own_offset = wall_time - monotonic_time
        self._offsets_by_host: dict[str, float] = {}

    def local_wall_time(self, monotonic_time: float) -> float:
        """Return the time by this host's own clock of day, to tell peers."""
        return monotonic_time + self._own_offset

    def wall_time(self, monotonic_time: float) -> float:
        """Return the time that the hosts agree on."""
        return monotonic_time + median(
            [self._own_offset, *self._offsets_by_host.values()]
        )

    def observe(self, host: str, wall_time: float, monotonic_time: float) -> None:
        """Take in what a peer's clock read at ``monotonic_time`` of this host."""
        self._offsets_by_host[host] = wall_time - monotonic_time

    def forget(self, host: str) -> None:
        """Forget a peer that is gone."""
        self._offsets_by_host.pop(host, None)
