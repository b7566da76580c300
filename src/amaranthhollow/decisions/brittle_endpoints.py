"""Keeps hosts from sending brittle endpoints more than they have room for.

An endpoint that is brittle falls over if it has to reject more than a number of
requests in a second. Its slots are therefore divided among the hosts, by rendezvous
hash where they do not divide evenly. A host that has used up its own share may send
more only in time slots that the hosts share at a rate below that number, so that all
of it may be rejected. After a rejection a host makes no use of its share for a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from itertools import islice
from typing import TYPE_CHECKING

from amaranthhollow.decisions.endpoint_limits import EndpointLimiter
from amaranthhollow.decisions.rendezvous import ranked

if TYPE_CHECKING:
    from amaranthhollow.decisions.gossip import Fact

__all__ = ["BRITTLE_FACT", "BrittleEndpoints", "EndpointUse"]

BRITTLE_FACT = "brittle"
# Part of the tolerated rejections that requests beyond the hosts' shares may cause.
EXCESS_RATIO = 0.5
# By then a slot has become free at an endpoint that is in use.
REJECTION_SECONDS = 1.0
# Responses of a service that is no longer brittle are those to requests sent this long
# after the last statement became known.
END_MARGIN_SECONDS = 0.5
SHARE_CACHE_SIZE = 8192


@dataclass(frozen=True)
class EndpointUse:
    """An endpoint, how much of it this host uses, and all hosts that may use it.

    ``running`` is the number of this host's requests there, without the next one.
    """

    endpoint_id: str
    incarnation: int
    service: str
    slots: int
    running: int
    hosts: tuple[str, ...]


class BrittleEndpoints:
    """What one host may send to endpoints that state to be brittle.

    Statements belong to one incarnation of an endpoint. One that has made none yet is
    taken for brittle if others of its service are. Times are seconds since the Unix
    epoch, in the time that the hosts agree on.
    """

    def __init__(self, host: str) -> None:
        """Start without brittle endpoints, on behalf of ``host``."""
        self._host = host
        self._limiter = EndpointLimiter(host, BRITTLE_FACT)
        self._brittle_since_by_service: dict[str, float] = {}
        self._rejected_at_by_endpoint: dict[str, float] = {}

    @property
    def has_any(self) -> bool:
        """Whether any endpoint has stated to be brittle."""
        return self._limiter.has_limits or bool(self._brittle_since_by_service)

    def observe(
        self, use: EndpointUse, tolerated: float | None, *, sent_at: float, now: float
    ) -> Fact | None:
        """Return the fact to publish if a response changes the statement, else None.

        ``tolerated`` is the stated number of rejections a second, or None in a response
        that states none. The response came to a request of ``sent_at``.
        """
        since = self._brittle_since_by_service.get(use.service, float("inf"))
        if tolerated is None and sent_at >= since + END_MARGIN_SECONDS:
            del self._brittle_since_by_service[use.service]
        rate = None if tolerated is None else EXCESS_RATIO * tolerated
        return self._limiter.observe(
            use.endpoint_id, use.incarnation, rate, sent_at=sent_at, now=now
        )

    def apply(self, fact: Fact, service: str | None, now: float) -> float | None:
        """Apply a fact that gossip reported as new, and return the number it states.

        ``service`` is that of the endpoint, or None if the endpoint is not known.
        """
        self._limiter.apply(fact, now)
        rate = self._limiter.rate(fact.name, fact.version.incarnation)
        if rate is None:
            return None
        if service is not None:
            self._brittle_since_by_service[service] = now
        return rate / EXCESS_RATIO

    def record_rejection(self, endpoint_id: str, now: float) -> None:
        """Record that an endpoint had no room for a request of this host."""
        if self.has_any:
            self._rejected_at_by_endpoint[endpoint_id] = now

    def may_send(self, use: EndpointUse, now: float) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if self._limiter.rate(use.endpoint_id, use.incarnation) is not None:
            return self._has_room(use, now) or self._limiter.may_send(
                use.endpoint_id, use.incarnation, use.hosts, now
            )
        is_brittle = use.service in self._brittle_since_by_service
        return not is_brittle or self._has_room(use, now)

    def record_sent(self, use: EndpointUse, now: float) -> None:
        """Count a request that is about to be sent."""
        if not self._has_room(use, now):
            self._limiter.record_sent(use.endpoint_id)

    def forget(self, endpoint_id: str) -> bool:
        """Drop an endpoint that is gone; return whether it was brittle."""
        self._rejected_at_by_endpoint.pop(endpoint_id, None)
        return self._limiter.forget(endpoint_id)

    def _has_room(self, use: EndpointUse, now: float) -> bool:
        """Return whether this host has slots of its own left at an endpoint."""
        rejected_at = self._rejected_at_by_endpoint.get(use.endpoint_id)
        if rejected_at is not None and now < rejected_at + REJECTION_SECONDS:
            return False
        return use.running < _share(self._host, use.endpoint_id, use.slots, use.hosts)


@lru_cache(maxsize=SHARE_CACHE_SIZE)
def _share(host: str, endpoint_id: str, slots: int, hosts: tuple[str, ...]) -> int:
    """Return how many of an endpoint's slots belong to ``host``."""
    if host not in hosts:
        return 0
    share, rest = divmod(slots, len(hosts))
    favoured = islice(ranked(endpoint_id, hosts), rest)
    return share + (host in favoured)
