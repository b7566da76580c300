"""Decides who carries out the duties that one host has at a time.

The holder of the lease counts it from before each renewal was asked for. One that
has lost it contends again only when a whole lease has passed, so that two holders
cannot take turns within one lease.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from amaranthhollow.decisions.control import HeldLease

__all__ = ["DutyState", "KnownHolder"]

# A call that was sent has to arrive while the lease still runs.
ACT_MARGIN_SECONDS = 0.2
# Hosts contend one after the other, so that the first one's write is seen.
CONTEND_SECONDS = 0.25


@dataclass(frozen=True)
class KnownHolder:
    """The holder that a host knows of, and when its lease ends at the latest.

    One that ended its lease itself, as it shuts down, has released it.
    """

    host: str
    fencing_token: int
    expires_at: float
    is_released: bool = False


@dataclass(frozen=True)
class DutyState:
    """What one host knows of the lease, as holder or not."""

    lease_seconds: float
    held_lease: HeldLease | None = None
    known_holder: KnownHolder | None = None
    contends_at: float = 0.0

    def acquired(self, fencing_token: int, requested_at: float) -> DutyState:
        """Return the state after the lease was granted."""
        expires_at = requested_at + self.lease_seconds
        return replace(
            self, held_lease=HeldLease(fencing_token, requested_at, expires_at)
        )

    def renewed(self, requested_at: float) -> DutyState:
        """Return the state after the lease was renewed."""
        if self.held_lease is None:
            return self
        expires_at = requested_at + self.lease_seconds
        return replace(self, held_lease=replace(self.held_lease, expires_at=expires_at))

    def lost(self, now: float) -> DutyState:
        """Return the state after the lease ended or another host has it."""
        bar = self.lease_seconds if self.held_lease is not None else CONTEND_SECONDS
        return replace(
            self, held_lease=None, contends_at=now + bar + ACT_MARGIN_SECONDS
        )

    def observe_holder(self, seen: KnownHolder) -> DutyState:
        """Return the state after a peer named the holder."""
        known = self.known_holder
        if known is not None and known.fencing_token > seen.fencing_token:
            return self
        if known is not None and known.fencing_token == seen.fencing_token:
            if known.is_released:
                return self
            if not seen.is_released:
                seen = replace(seen, expires_at=max(seen.expires_at, known.expires_at))
        return replace(self, known_holder=seen)

    def released(self, host: str) -> DutyState:
        """Return the state of ``host`` after it ended its lease for good."""
        if self.held_lease is None:
            return replace(self, contends_at=inf)
        seen = KnownHolder(host, self.held_lease.fencing_token, 0.0, is_released=True)
        return replace(self, held_lease=None, known_holder=seen, contends_at=inf)

    def is_expired(self, now: float) -> bool:
        """Tell whether the lease that is held has run out."""
        return self.held_lease is not None and now >= self.held_lease.expires_at

    def may_call(self, now: float, call_seconds: float) -> bool:
        """Tell whether a call of ``call_seconds`` at most may be sent now."""
        if self.held_lease is None:
            return False
        return now + call_seconds + ACT_MARGIN_SECONDS < self.held_lease.expires_at

    def should_contend(self, rank: int, now: float) -> bool:
        """Tell whether the host with this rank should ask for the lease now."""
        if self.held_lease is not None or now < self.contends_at:
            return False
        expires_at = (
            self.known_holder.expires_at if self.known_holder is not None else 0.0
        )
        return now >= expires_at + rank * CONTEND_SECONDS
