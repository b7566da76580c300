"""Tracks when a replicated document was last confirmed to be the newest version.

A document is confirmed as of the start of a read of the store that returned it. Peers
pass on the age of their confirmation; the receiver subtracts it from the time at which
it sent its request, so a delayed response cannot make the confirmation look more
recent.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Freshness", "read_is_due", "freshness_from_peer"]

# The reachable host of the lowest rank reads the store at this interval; the others get
# the result from their peers.
READ_INTERVAL_SECONDS = 0.6
# The host of the next rank reads if no confirmation arrives: one exchange between peers
# and a margin for a slow response.
FIRST_STANDBY_SECONDS = 0.45
STANDBY_STEP_SECONDS = 0.15
# A host that reaches no peer must read in time whatever its rank: drains and
# configuration changes take effect within 2 s, including a slow response of the store.
MAX_STANDBY_SECONDS = 0.9


@dataclass(frozen=True)
class Freshness:
    """The time at which a document was last confirmed as the newest; None if never."""

    confirmed_at: float | None = None

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation, or infinity without one."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def refreshed(self, confirmed_at: float) -> Freshness:
        """Return the more recent of this confirmation and one at ``confirmed_at``."""
        if self.confirmed_at is not None and self.confirmed_at >= confirmed_at:
            return self
        return Freshness(confirmed_at)


def freshness_from_peer(requested_at: float, age_seconds: float) -> Freshness:
    """Return the freshness that a peer's response confirms.

    ``age_seconds`` is the age of the peer's own confirmation when it responded, which
    was after the request was sent at ``requested_at``.
    """
    return Freshness(requested_at - age_seconds)


def read_is_due(freshness: Freshness, rank: int, now: float) -> bool:
    """Return whether the host with this rank among the reachable ones should read."""
    standby = 0.0
    if rank > 0:
        standby = FIRST_STANDBY_SECONDS + (rank - 1) * STANDBY_STEP_SECONDS
        standby = min(standby, MAX_STANDBY_SECONDS)
    return freshness.age(now) >= READ_INTERVAL_SECONDS + standby
