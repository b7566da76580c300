"""Decides who carries out the duties that one host has at a time.

The holder of the lease counts it from before each renewal was asked for. One that
has lost it contends again only when a whole lease has passed, so that two holders
cannot take turns within one lease.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from amaranthhollow.decisions.control import Holding

__all__ = ["DutyState", "HolderSeen"]

# A call that was sent has to arrive while the lease still runs.
ACT_MARGIN_SECONDS = 0.2
# Hosts contend one after the other, so that the first one's write is seen.
CONTEND_SECONDS = 0.25


@dataclass(frozen=True)
class HolderSeen:
    """The holder that a host knows of, and when its lease ends at the latest.

    One that ended its lease itself, as it shuts down, has released it.
    """

    host: str
    fencing_token: int
    lapses_at: float
    is_released: bool = False


@dataclass(frozen=True)
class DutyState:
    """What one host knows of the lease, as holder or not."""

    lease_seconds: float
    holding: Holding | None = None
    seen: HolderSeen | None = None
    contends_at: float = 0.0

    def acquired(self, fencing_token: int, asked_at: float) -> DutyState:
        """Return the state after the lease was granted."""
        expires_at = asked_at + self.lease_seconds
        return replace(self, holding=Holding(fencing_token, asked_at, expires_at))

    def renewed(self, asked_at: float) -> DutyState:
        """Return the state after the lease was renewed."""
        if self.holding is None:
            return self
        expires_at = asked_at + self.lease_seconds
        return replace(self, holding=replace(self.holding, expires_at=expires_at))

    def lost(self, now: float) -> DutyState:
        """Return the state after the lease ended or another host has it."""
        bar = self.lease_seconds if self.holding is not None else CONTEND_SECONDS
        return replace(self, holding=None, contends_at=now + bar + ACT_MARGIN_SECONDS)

    def heard_of(self, seen: HolderSeen) -> DutyState:
        """Return the state after a peer named the holder."""
        known = self.seen
        if known is not None and known.fencing_token > seen.fencing_token:
            return self
        if known is not None and known.fencing_token == seen.fencing_token:
            if known.is_released:
                return self
            if not seen.is_released:
                seen = replace(seen, lapses_at=max(seen.lapses_at, known.lapses_at))
        return replace(self, seen=seen)

    def released(self, host: str) -> DutyState:
        """Return the state of ``host`` after it ended its lease for good."""
        if self.holding is None:
            return replace(self, contends_at=inf)
        seen = HolderSeen(host, self.holding.fencing_token, 0.0, is_released=True)
        return replace(self, holding=None, seen=seen, contends_at=inf)

    def is_overdue(self, now: float) -> bool:
        """Tell whether the lease that is held has run out."""
        return self.holding is not None and now >= self.holding.expires_at

    def may_act(self, now: float, call_seconds: float) -> bool:
        """Tell whether a call of ``call_seconds`` at most may be sent now."""
        if self.holding is None:
            return False
        return now + call_seconds + ACT_MARGIN_SECONDS < self.holding.expires_at

    def should_contend(self, rank: int, now: float) -> bool:
        """Tell whether the host with this rank should ask for the lease now."""
        if self.holding is not None or now < self.contends_at:
            return False
        lapses_at = self.seen.lapses_at if self.seen is not None else 0.0
        return now >= lapses_at + rank * CONTEND_SECONDS
