"""Until when a replicated document may be taken as the newest.

A proof is the instant before which a read was begun that showed the document to be
the newest. A host that has read the store vouches for its peers: the proof that a
peer gets lies before its own question, so a delayed answer cannot make it younger.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Freshness", "read_is_due", "freshness_from_peer"]

# One host reads the store this often; the others hear of it.
READ_INTERVAL_SECONDS = 0.6
# The next host reads if no proof has come: an exchange, and room for a slow answer.
FIRST_STANDBY_SECONDS = 0.45
STANDBY_STEP_SECONDS = 0.15
# Whatever its rank, a host that hears of nobody reads before the bounds of 2 s on what
# is drained and configured (system page, today's sites), with room for a slow answer.
MAX_STANDBY_SECONDS = 0.9


@dataclass(frozen=True)
class Freshness:
    """When a document was last known to be the newest; None if never."""

    confirmed_at: float | None = None

    def age(self, now: float) -> float:
        """Return the seconds since the document was known to be the newest."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def refreshed(self, confirmed_at: float) -> Freshness:
        """Return the younger of two proofs."""
        if self.confirmed_at is not None and self.confirmed_at >= confirmed_at:
            return self
        return Freshness(confirmed_at)


def freshness_from_peer(asked_at: float, age_seconds: float) -> Freshness:
    """Return the proof that a peer's answer gives.

    ``age_seconds`` is the age of the peer's proof when it answered, which was after
    ``asked_at``.
    """
    return Freshness(asked_at - age_seconds)


def read_is_due(proof: Freshness, rank: int, now: float) -> bool:
    """Tell whether the host with this rank among the reachable ones should read."""
    standby = 0.0
    if rank > 0:
        standby = FIRST_STANDBY_SECONDS + (rank - 1) * STANDBY_STEP_SECONDS
        standby = min(standby, MAX_STANDBY_SECONDS)
    return proof.age(now) >= READ_INTERVAL_SECONDS + standby
