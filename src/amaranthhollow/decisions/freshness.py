"""Tracks when a replicated document was last confirmed to be the newest version.

A document is confirmed as of the start of a read of the store that returned it. Peers
pass on the age of their confirmation; the receiver subtracts it from the time at which
it sent its request, so a delayed response cannot make the confirmation look more
recent.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "Freshness",
    "freshness_from_peer",
    "read_is_due",
    "seconds_until_read",
    "seconds_until_retry",
]

# The reachable host of the lowest rank reads the store at this interval; the others get
# the result from their peers.
READ_INTERVAL_SECONDS = 0.6
# The host of the next rank reads if no confirmation arrives: the time that one takes to
# reach all hosts, at least that of a small site, and a margin for a slow response.
MIN_SPREAD_SECONDS = 0.25
RESPONSE_MARGIN_SECONDS = 0.2
STANDBY_STEP_SECONDS = 0.15
MAX_STANDBY_STEPS = 3
# Hosts of higher ranks call a store that does not respond up to this much less often.
MAX_RETRY_FACTOR = 8


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


def read_is_due(
    freshness: Freshness, rank: int, now: float, spread_seconds: float = 0.0
) -> bool:
    """Return whether the host with this rank among the reachable ones should read."""
    return seconds_until_read(freshness, rank, now, spread_seconds) <= 0.0


def seconds_until_read(
    freshness: Freshness, rank: int, now: float, spread_seconds: float = 0.0
) -> float:
    """Return for how long the host with this rank waits for another one to read.

    Peers pass a confirmation on to all hosts within ``spread_seconds``. A host that
    reaches no peer reads in time whatever its rank: at most 1.5 s after the last
    confirmation at sites of up to 9 hosts, 2.3 s at 200.
    """
    standby = 0.0
    if rank > 0:
        standby = max(MIN_SPREAD_SECONDS, spread_seconds) + RESPONSE_MARGIN_SECONDS
        standby += min(rank - 1, MAX_STANDBY_STEPS) * STANDBY_STEP_SECONDS
    return READ_INTERVAL_SECONDS + standby - freshness.age(now)


def seconds_until_retry(rank: int, failures: int) -> float:
    """Return for how long a host waits after its latest failed read in a row.

    The hosts of the lowest ranks notice the end of an outage, and the others hear of it
    from them. A host that reaches no peer has the lowest rank.
    """
    if rank <= MAX_STANDBY_STEPS:
        return READ_INTERVAL_SECONDS
    return READ_INTERVAL_SECONDS * min(MAX_RETRY_FACTOR, 2**failures)
