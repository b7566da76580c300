"""Divides the request rate that an endpoint accepts among all hosts.

The limit is divided by time, without a message per request: each slot of the time that
the hosts agree on belongs to one of them, by rendezvous hash. The owner may send one
request in the slot or shortly after it. Hosts that differ on which of them exist agree
on all slots but those of the host in question, and a host that is cut off keeps to its
own slots for as long as it remembers the others.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import floor
from typing import TYPE_CHECKING, Annotated

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.rendezvous import owner
from amaranthhollow.decoding import MAX_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["ENDPOINT_LIMIT_FACT", "EndpointLimiter", "StatedLimit"]

ENDPOINT_LIMIT_FACT = "endpoint-limit"
# A slot that was not used by then is lost, so that hosts cannot save slots and send
# many requests at once. Operators accept one and a half times the limit in 4 s.
SLOT_LIFETIME_SECONDS = 1.0
# Slots of endpoints with a high limit are worth several requests.
MIN_SLOT_SECONDS = 0.2
# An endpoint that accepts nothing still gets a request at times, whose response shows
# whether its limit has changed.
MIN_REQUESTS_PER_SECOND = 0.25
# A response shows the end of a limit only if its request was sent this long after the
# limit was first seen. Allows for responses that overtake each other and for hosts that
# do not quite agree on the time.
END_MARGIN_SECONDS = 0.5
VERSION_STEP_SECONDS = 0.001


class StatedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The value of a limit fact; ``requests_per_second`` is None once it has ended."""

    requests_per_second: Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)] | None


@dataclass
class _Share:
    """What one host may send to one endpoint.

    ``slots`` holds the end of each unused slot's lifetime, and its worth in requests.
    """

    incarnation: int
    observed_at: float
    requests_per_second: float | None
    collected_until: float
    slots: deque[tuple[float, float]] = field(default_factory=deque)

    @property
    def shared_rate(self) -> float:
        return max(self.requests_per_second or 0.0, MIN_REQUESTS_PER_SECOND)

    @property
    def slot_seconds(self) -> float:
        return max(1.0 / self.shared_rate, MIN_SLOT_SECONDS)

    @property
    def slot_worth(self) -> float:
        return max(1.0, self.shared_rate * MIN_SLOT_SECONDS)


class EndpointLimiter:
    """One host's share of the limits that endpoints state.

    All times are seconds since the Unix epoch, in the time that the hosts agree on.
    Limits belong to one incarnation of an endpoint and spread as facts. Example::

        fact = limiter.observe("i-1", 7, 2.0, sent_at=10.0, now=10.1)
        limiter.may_send("i-1", 7, ("host-1", "host-2"), now=10.6)
    """

    def __init__(self, host: str, fact_kind: str = ENDPOINT_LIMIT_FACT) -> None:
        """Start without limits, on behalf of ``host``; they spread as ``fact_kind``."""
        self._host = host
        self._fact_kind = fact_kind
        self._shares_by_endpoint: dict[str, _Share] = {}

    @property
    def has_limits(self) -> bool:
        """Whether any endpoint has stated a limit."""
        return bool(self._shares_by_endpoint)

    def rate(self, endpoint_id: str, incarnation: int) -> float | None:
        """Return the limit of an endpoint in requests per second, or None."""
        share = self._shares_by_endpoint.get(endpoint_id)
        if share is None or share.incarnation < incarnation:
            return None
        return share.requests_per_second

    def knows(self, endpoint_id: str, incarnation: int) -> bool:
        """Return whether an incarnation has stated a limit, or that it has none."""
        share = self._shares_by_endpoint.get(endpoint_id)
        return share is not None and share.incarnation >= incarnation

    def observe(
        self,
        endpoint_id: str,
        incarnation: int,
        requests_per_second: float | None,
        *,
        sent_at: float,
        now: float,
    ) -> Fact | None:
        """Return the fact to publish if a response changes the limit, else None.

        The response came to a request of ``sent_at``.
        """
        if requests_per_second == self.rate(endpoint_id, incarnation):
            return None
        share = self._shares_by_endpoint.get(endpoint_id)
        if share is not None and share.incarnation > incarnation:
            return None
        observed_at = now
        if share is not None and share.incarnation == incarnation:
            observed_at = max(now, share.observed_at + VERSION_STEP_SECONDS)
            is_early = sent_at < share.observed_at + END_MARGIN_SECONDS
            if requests_per_second is None and is_early:
                return None
        value = msgspec.msgpack.encode(StatedLimit(requests_per_second))
        version = Version(incarnation, round(observed_at * 1000))
        return Fact(self._fact_kind, endpoint_id, version, value)

    def apply(self, fact: Fact, now: float) -> None:
        """Apply a limit fact that gossip reported as new."""
        limit = msgspec.msgpack.decode(fact.value, type=StatedLimit)
        share = self._shares_by_endpoint.get(fact.name)
        observed_at = fact.version.sequence / 1000
        incarnation = fact.version.incarnation
        if share is None or share.incarnation != incarnation:
            share = _Share(incarnation, observed_at, limit.requests_per_second, now)
            self._shares_by_endpoint[fact.name] = share
        elif share.requests_per_second is None:
            share.collected_until = max(share.collected_until, now)
        share.observed_at = observed_at
        share.requests_per_second = limit.requests_per_second

    def may_send(
        self, endpoint_id: str, incarnation: int, hosts: Collection[str], now: float
    ) -> bool:
        """Return whether a request may be sent now.

        ``hosts`` are all hosts that may send to the endpoint, including this one. Too
        few of them would make this host use the slots of the others.
        """
        if self.rate(endpoint_id, incarnation) is None:
            return True
        share = self._shares_by_endpoint[endpoint_id]
        self._collect_slots(endpoint_id, share, hosts, now)
        return sum(worth for _, worth in share.slots) >= 1.0

    def record_sent(self, endpoint_id: str) -> None:
        """Use up the oldest slots for a request that is sent."""
        share = self._shares_by_endpoint.get(endpoint_id)
        cost = 1.0
        while share is not None and share.slots and cost > 0.0:
            expires_at, worth = share.slots.popleft()
            if worth > cost:
                share.slots.appendleft((expires_at, worth - cost))
            cost -= worth

    def forget(self, endpoint_id: str) -> bool:
        """Drop the limit of an endpoint that is gone; return whether it had one."""
        return self._shares_by_endpoint.pop(endpoint_id, None) is not None

    def _collect_slots(
        self, endpoint_id: str, share: _Share, hosts: Collection[str], now: float
    ) -> None:
        """Add the slots of this host that have begun, and drop the expired ones.

        A time that goes backwards yields no slot twice.
        """
        seconds, worth = share.slot_seconds, share.slot_worth
        start = max(share.collected_until, now - SLOT_LIFETIME_SECONDS)
        for index in range(floor(start / seconds) + 1, floor(now / seconds) + 1):
            if owner(f"{endpoint_id}/{index}", hosts) == self._host:
                expires_at = index * seconds + SLOT_LIFETIME_SECONDS
                share.slots.append((expires_at, worth))
        share.collected_until = max(share.collected_until, now)
        while share.slots and share.slots[0][0] <= now:
            share.slots.popleft()
