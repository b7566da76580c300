"""Keeps the request rates to which endpoints limit all hosts together."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import logbook

from amaranthhollow.decisions.address_statements import AddressStatements
from amaranthhollow.decisions.endpoint_limits import (
    ENDPOINT_LIMIT_FACT,
    EndpointLimiter,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.request import ResponseInfo

__all__ = ["EndpointLimits"]

SUCCESS = range(200, 300)

log = logbook.Logger("limits")


class EndpointLimits:
    """The limits that endpoints have stated to this host or to its peers."""

    fact_kinds: ClassVar = (ENDPOINT_LIMIT_FACT,)

    def __init__(self, host: Host) -> None:
        """Keep limits on behalf of ``host``."""
        self._host = host
        self._limiter = EndpointLimiter(host.name)
        self._heard = AddressStatements()

    def observe_response(
        self, endpoint: Endpoint, response: ResponseInfo, sent_at: float
    ) -> None:
        """Publish the limit that a response states, if it has changed.

        Only a signed success shows that an endpoint states no limit any more.
        """
        rate = response.rate_limit
        is_proof = response.is_signed and response.head.status in SUCCESS
        has_limits = self._limiter.has_limits or self._heard.has_any
        if rate is None and not (is_proof and has_limits):
            return
        wall_time = self._host.wall_time()
        self._heard.hear(endpoint.address_and_port, rate, wall_time)
        self._publish(endpoint, rate, self._host.clock.wall_time(sent_at))

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply facts that gossip reported as new."""
        for fact in facts:
            if fact.kind != ENDPOINT_LIMIT_FACT:
                continue
            incarnation = fact.version.incarnation
            previous = self._limiter.rate(fact.name, incarnation)
            self._limiter.apply(fact, self._host.wall_time())
            rate = self._limiter.rate(fact.name, incarnation)
            endpoint = self._host.site.endpoints.get(fact.name)
            if rate is None and endpoint is not None:
                self._heard.hear(endpoint.address_and_port, None, 0.0)
            log.info(
                "endpoint limit changed",
                extra={"endpoint": fact.name, "rate": rate, "previous": previous},
            )

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether this host may send a request to an endpoint now."""
        self._adopt_heard(endpoint)
        if not self._limiter.has_limits:
            return True
        host = self._host
        may_send = self._limiter.may_send(
            endpoint.host,
            endpoint.listed.incarnation,
            host.sharing_hosts,
            host.wall_time(),
        )
        if not may_send:
            host.metrics.limited_choices.increment(endpoint.listed.deployment)
        return may_send

    def record_sent(self, endpoint: Endpoint) -> None:
        """Count a request that is about to be sent."""
        self._limiter.record_sent(endpoint.host)

    def forget_unlisted(self) -> None:
        """Drop the limits of endpoints that are no longer listed."""
        self._heard.expire(self._host.wall_time())
        if not self._limiter.has_limits:
            return
        for endpoint in self._host.site.endpoints.all():
            if not endpoint.is_listed and self._limiter.forget(endpoint.host):
                table = self._host.membership.table
                table.remove(ENDPOINT_LIMIT_FACT, endpoint.host)

    def _adopt_heard(self, endpoint: Endpoint) -> None:
        """Take over a limit that the endpoint stated before the list named it."""
        if not self._heard.has_any:
            return
        listed = endpoint.listed
        if not self._limiter.knows(endpoint.host, listed.incarnation):
            rate = self._heard.find(endpoint.address_and_port, listed.incarnation)
            if rate is not None:
                self._publish(endpoint, rate, self._host.wall_time())

    def _publish(self, endpoint: Endpoint, rate: float | None, sent_at: float) -> None:
        """Publish a limit, or its end, unless it is known."""
        host = self._host
        fact = self._limiter.observe(
            endpoint.host,
            endpoint.listed.incarnation,
            rate,
            sent_at=sent_at,
            now=host.wall_time(),
        )
        if fact is not None:
            self.apply_facts(host.membership.merge([fact], now()))
