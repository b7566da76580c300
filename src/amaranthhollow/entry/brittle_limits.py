"""Keeps what this host sends to brittle endpoints within their room."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import logbook

from amaranthhollow.decisions.brittle_endpoints import (
    BRITTLE_FACT,
    BrittleEndpoints,
    EndpointUse,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.request import ResponseInfo

__all__ = ["BrittleLimits"]

SUCCESS = range(200, 300)
UNAVAILABLE = 503

log = logbook.Logger("limits")


class BrittleLimits:
    """The statements of endpoints to this host or its peers that they are brittle."""

    fact_kinds: ClassVar = (BRITTLE_FACT,)

    def __init__(self, host: Host) -> None:
        """Keep limits on behalf of ``host``."""
        self._host = host
        self._brittle = BrittleEndpoints(host.name)

    def observe_response(
        self, endpoint: Endpoint, response: ResponseInfo, sent_at: float
    ) -> None:
        """Publish what a response states, if it has changed, and record a rejection.

        Only a signed success shows that an endpoint is no longer brittle.
        """
        host, tolerated = self._host, response.tolerated_rejections
        if tolerated is None and not self._brittle.has_any:
            return
        if response.did_not_run and response.head.status == UNAVAILABLE:
            self._brittle.record_rejection(endpoint.host, host.wall_time())
        if tolerated is None and not (
            response.is_signed and response.head.status in SUCCESS
        ):
            return
        fact = self._brittle.observe(
            self._use(endpoint),
            tolerated,
            sent_at=host.clock.wall_time(sent_at),
            now=host.wall_time(),
        )
        if fact is not None:
            self.apply_facts(host.membership.merge([fact], now()))

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply facts that gossip reported as new."""
        for fact in facts:
            if fact.kind != BRITTLE_FACT:
                continue
            endpoint = self._host.site.endpoints.get(fact.name)
            service = None if endpoint is None else endpoint.listed.deployment
            tolerated = self._brittle.apply(fact, service, self._host.wall_time())
            log.info(
                "endpoint brittle" if tolerated is not None else "endpoint not brittle",
                extra={"endpoint": fact.name, "tolerated": tolerated},
            )

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether this host may send a request to an endpoint now."""
        if not self._brittle.has_any:
            return True
        may_send = self._brittle.may_send(self._use(endpoint), self._host.wall_time())
        if not may_send:
            service = endpoint.listed.deployment
            self._host.metrics.limited_choices.increment(service)
        return may_send

    def record_sent(self, endpoint: Endpoint) -> None:
        """Count a request that is about to be sent."""
        if self._brittle.has_any:
            self._brittle.record_sent(self._use(endpoint), self._host.wall_time())

    def forget_unlisted(self) -> None:
        """Drop the statements of endpoints that are no longer listed."""
        if not self._brittle.has_any:
            return
        for endpoint in self._host.site.endpoints.all():
            if not endpoint.is_listed and self._brittle.forget(endpoint.host):
                self._host.membership.table.remove(BRITTLE_FACT, endpoint.host)

    def _use(self, endpoint: Endpoint) -> EndpointUse:
        listed = endpoint.listed
        return EndpointUse(
            endpoint_id=endpoint.host,
            incarnation=listed.incarnation,
            service=listed.deployment,
            slots=listed.slots,
            running=self._host.chooser.local_load(endpoint.host).requests,
            hosts=self._sharing_hosts(),
        )

    def _sharing_hosts(self) -> tuple[str, ...]:
        """Return the hosts that share an endpoint's slots.

        A host that has just started counts those that it reaches. Their shares may
        overlap with its own for a moment, which costs a few rejections at most.
        """
        host = self._host
        if host.sharing_hosts or not host.reachable_hosts:
            return host.sharing_hosts
        return (*host.reachable_hosts, host.name)
