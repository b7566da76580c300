"""Elects the one host that carries out the singleton duties, by means of a lease.

The holder counts the lease from before it requested each renewal, so it stops before
the store grants the lease to another host. A host that has lost the lease contends
again only after a full lease period, so that two holders cannot alternate within one.
A process that was started again cannot know whether its predecessor on the same host
held the lease, so it waits as long.

A store that returns from an older copy has lost leases that it granted. So the holder
stops as soon as it sees the new era, and nobody contends until the last lease that the
store can have granted before has expired.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import inf

from amaranthhollow.decisions.control import HeldLease

__all__ = ["DutyState", "ObservedHolder"]

# A call must reach its target before the lease expires.
CALL_MARGIN_SECONDS = 0.2
# By then a host has heard of its peers, and of the one that holds the duties.
START_DELAY_SECONDS = 0.75
# Delay between the attempts of hosts of successive ranks, besides the time that a write
# takes to become known to all, so that each can observe the write of the one before.
CONTEND_STEP_SECONDS = 0.25


@dataclass(frozen=True)
class ObservedHolder:
    """The lease holder that a host has observed, and the latest expiry of its lease.

    ``is_released`` marks a holder that ended its lease itself, as on shutdown.
    """

    host: str
    fencing_token: int
    expires_at: float
    is_released: bool = False


@dataclass(frozen=True)
class DutyState:
    """One host's view of the duty lease, whether or not it holds it.

    Hosts contend from ``starts_at`` on, by rank.
    ``token_at_restore`` is the fencing token that this host held when it saw that the
    store had been restored, so that no other host has carried out the duties since; 0
    if it held none.
    """

    lease_seconds: float
    held_lease: HeldLease | None = None
    observed_holder: ObservedHolder | None = None
    contends_at: float = 0.0
    token_at_restore: int = 0
    starts_at: float = 0.0

    @classmethod
    def at_first_start(cls, lease_seconds: float, now: float) -> DutyState:
        """Return the state of a process whose host cannot have held the lease."""
        return cls(lease_seconds, starts_at=now + START_DELAY_SECONDS)

    @classmethod
    def at_restart(cls, lease_seconds: float, now: float) -> DutyState:
        """Return the state of a process whose host may just have held the lease.

        The previous process may have made calls until it ended, and another host may
        have made some since.
        """
        wait = max(START_DELAY_SECONDS, lease_seconds + CALL_MARGIN_SECONDS)
        return cls(lease_seconds, starts_at=now + wait)

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

    def lost(self, now: float, rank: int = 0, spread_seconds: float = 0.0) -> DutyState:
        """Return the state after the lease ended or another host has it.

        After a failed attempt, hosts of successive ranks follow each other again.
        """
        backoff = (
            self.lease_seconds if self.held_lease is not None else CONTEND_STEP_SECONDS
        )
        backoff += rank * (CONTEND_STEP_SECONDS + spread_seconds)
        contends_at = max(self.contends_at, now + backoff + CALL_MARGIN_SECONDS)
        return replace(self, held_lease=None, contends_at=contends_at)

    def store_restored(self, now: float) -> DutyState:
        """Return the state after the store has returned from an older copy.

        The previous holder contends first, since it knows which calls it has made.
        """
        held_lease = None if self.is_expired(now) else self.held_lease
        contends_at = now + self.lease_seconds + CALL_MARGIN_SECONDS
        if held_lease is None:
            contends_at += CONTEND_STEP_SECONDS
        return replace(
            self,
            held_lease=None,
            contends_at=max(self.contends_at, contends_at),
            token_at_restore=held_lease.fencing_token if held_lease else 0,
        )

    def observe_holder(self, holder: ObservedHolder) -> DutyState:
        """Return the state after the lease holder was read or named by a peer."""
        previous = self.observed_holder
        if previous is not None and previous.fencing_token > holder.fencing_token:
            return self
        if previous is not None and previous.fencing_token == holder.fencing_token:
            if previous.is_released:
                return self
            if not holder.is_released:
                holder = replace(
                    holder, expires_at=max(holder.expires_at, previous.expires_at)
                )
        return replace(self, observed_holder=holder)

    def released(self, host: str) -> DutyState:
        """Return the state of ``host`` after it ended its lease on shutdown."""
        if self.held_lease is None:
            return replace(self, contends_at=inf)
        holder = ObservedHolder(
            host, self.held_lease.fencing_token, 0.0, is_released=True
        )
        return replace(self, held_lease=None, observed_holder=holder, contends_at=inf)

    def is_expired(self, now: float) -> bool:
        """Return whether the lease that this host held has expired."""
        return self.held_lease is not None and now >= self.held_lease.expires_at

    def may_call(self, now: float, call_seconds: float) -> bool:
        """Return whether a call that takes ``call_seconds`` at most may be sent now."""
        if self.held_lease is None:
            return False
        return now + call_seconds + CALL_MARGIN_SECONDS < self.held_lease.expires_at

    def should_contend(
        self, rank: int, now: float, spread_seconds: float = 0.0
    ) -> bool:
        """Return whether the host with this rank should request the lease now."""
        return self.held_lease is None and now >= self.contention_time(
            rank, spread_seconds
        )

    def contention_time(self, rank: int, spread_seconds: float = 0.0) -> float:
        """Return when the host with this rank requests the lease, if it is not renewed.

        Hosts of successive ranks follow each other. What one of them writes reaches all
        others within ``spread_seconds``.
        """
        step = CONTEND_STEP_SECONDS + spread_seconds
        vacant_at = self.starts_at
        if self.observed_holder is not None:
            vacant_at = max(vacant_at, self.observed_holder.expires_at)
        return max(self.contends_at, vacant_at + rank * step)
