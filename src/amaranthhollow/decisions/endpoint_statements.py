"""What endpoints say of themselves: that they leave, and until when they rest.

That an endpoint leaves is true for all hosts and for as long as it runs, so it is
shared as a fact. Until when it wants no more requests holds for the host that it told.

An endpoint may speak before the list names it: then it has just started again, under
its name or another one. What a host hears at an address is therefore kept for the
address, and holds for all endpoints there that had started by then. One that starts
later has said nothing yet.
"""

from __future__ import annotations

from dataclasses import dataclass

from amaranthhollow.decisions.gossip import Fact, Version

__all__ = ["LEAVING_FACT", "MAX_REST_SECONDS", "EndpointStatements"]

LEAVING_FACT = "leaving"
# Longer than any deadline; an endpoint that rests for longer says so again.
MAX_REST_SECONDS = 600.0
# An endpoint is listed long before that.
LEAVING_RETENTION_SECONDS = 3600.0
# The clocks of endpoints and hosts differ by less. An endpoint may ask for a rest as
# soon as it has started.
CLOCK_TOLERANCE_SECONDS = 1.0


@dataclass(frozen=True)
class _Rest:
    """A rest until a monotonic time, asked for at ``heard_at`` in Unix seconds."""

    heard_at: float
    until: float

    def includes(self, other: _Rest) -> bool:
        """Return whether this rest binds all endpoints that the other one binds."""
        return self.heard_at >= other.heard_at and self.until >= other.until


class EndpointStatements:
    """The statements of all endpoints that one host knows.

    Incarnations are in Unix milliseconds, as listed.

    Example::

        statements = EndpointStatements()
        statements.rest("10.0.0.1:80", heard_at=1700000000.0, until=105.0)
        statements.rests_until("10.0.0.1:80", 1699999999000, now=101.0)  # 105.0
    """

    def __init__(self) -> None:
        """Start without statements."""
        self._leaving_incarnation_by_id: dict[str, int] = {}
        self._leaving_heard_at_by_address: dict[str, float] = {}
        self._rests_by_address: dict[str, tuple[_Rest, ...]] = {}

    @property
    def has_any(self) -> bool:
        """Whether any statement is known."""
        return bool(
            self._leaving_incarnation_by_id
            or self._leaving_heard_at_by_address
            or self._rests_by_address
        )

    def hear_leaving(self, address: str, heard_at: float) -> None:
        """Record that the endpoint at ``ADDRESS:PORT`` said that it leaves."""
        self._leaving_heard_at_by_address[address] = heard_at

    def has_said_leaving(self, address: str, incarnation: int) -> bool:
        """Return whether this host has heard from an endpoint that it leaves.

        This is not known of one without a start (0), only of its name as listed.
        """
        heard_at = self._leaving_heard_at_by_address.get(address)
        return heard_at is not None and 0 < incarnation <= heard_at * 1000

    def leaving_fact(self, endpoint_id: str, incarnation: int) -> Fact | None:
        """Return the fact that an endpoint leaves, or None if that is known."""
        if self.is_leaving(endpoint_id, incarnation):
            return None
        return Fact(LEAVING_FACT, endpoint_id, Version(incarnation), b"")

    def apply(self, fact: Fact) -> None:
        """Apply the fact that an endpoint leaves."""
        known = self._leaving_incarnation_by_id.get(fact.name, -1)
        incarnation = max(known, fact.version.incarnation)
        self._leaving_incarnation_by_id[fact.name] = incarnation

    def is_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Return whether this incarnation of an endpoint, or a later one, leaves."""
        return self._leaving_incarnation_by_id.get(endpoint_id, -1) >= incarnation

    def rest(self, address: str, heard_at: float, until: float) -> None:
        """Record until when the endpoint at an address wants nothing of this host."""
        added = _Rest(heard_at, until)
        known = self._rests_by_address.get(address, ())
        if not any(rest.includes(added) for rest in known):
            kept = [rest for rest in known if not added.includes(rest)]
            self._rests_by_address[address] = (*kept, added)

    def rests_until(self, address: str, incarnation: int, now: float) -> float | None:
        """Return until when an endpoint rests, or None if it does not."""
        ends = [
            rest.until
            for rest in self._rests_by_address.get(address, ())
            if rest.until > now
            and incarnation <= (rest.heard_at + CLOCK_TOLERANCE_SECONDS) * 1000
        ]
        return max(ends, default=None)

    def expire(self, now: float, wall_time: float) -> None:
        """Drop the rests that have ended, and what was heard long ago."""
        for address, rests in list(self._rests_by_address.items()):
            kept = tuple(rest for rest in rests if rest.until > now)
            if kept:
                self._rests_by_address[address] = kept
            else:
                del self._rests_by_address[address]
        for address, heard_at in list(self._leaving_heard_at_by_address.items()):
            if heard_at + LEAVING_RETENTION_SECONDS <= wall_time:
                del self._leaving_heard_at_by_address[address]

    def forget_leaving(self, endpoint_id: str) -> bool:
        """Drop the fact that an endpoint leaves; return whether it was known."""
        return self._leaving_incarnation_by_id.pop(endpoint_id, None) is not None
