"""Sends nothing to endpoints that have said that they leave or rest."""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar

import logbook

from amaranthhollow.decisions.endpoint_statements import (
    LEAVING_FACT,
    MAX_REST_SECONDS,
    EndpointStatements,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.request import ResponseInfo

__all__ = ["StatementLimits"]

log = logbook.Logger("limits")


class StatementLimits:
    """The statements of endpoints to this host, and to its peers that they leave."""

    fact_kinds: ClassVar = (LEAVING_FACT,)

    def __init__(self, host: Host) -> None:
        """Keep statements on behalf of ``host``."""
        self._host = host
        self._statements = EndpointStatements()

    def observe_response(self, endpoint: Endpoint, response: ResponseInfo) -> None:
        """Apply what a response states, and publish that an endpoint leaves.

        Responses need not be signed: to send nothing to an endpoint that has not said
        so costs its share of the work, to go on sending to one that has costs requests.
        """
        address, heard_at = endpoint.address_and_port, self._host.wall_time()
        endpoint_id, incarnation = endpoint.host, endpoint.listed.incarnation
        if response.rest_seconds is not None:
            seconds = min(response.rest_seconds, MAX_REST_SECONDS)
            self._statements.rest(address, heard_at, now() + seconds)
            log.info(
                "endpoint rests",
                extra={
                    "endpoint": endpoint_id,
                    "incarnation": incarnation,
                    "stated": response.rest_seconds,
                    "seconds": seconds,
                },
            )
        if response.is_leaving:
            self._statements.hear_leaving(address, heard_at)
            self._publish_leaving(endpoint)

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply the facts that endpoints leave."""
        for fact in facts:
            self._statements.apply(fact)
            self._mark_leaving(fact.name)
            log.info(
                "endpoint leaves",
                extra={
                    "endpoint": fact.name,
                    "incarnation": fact.version.incarnation,
                },
            )

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether this host may send a request to an endpoint now."""
        if not self._statements.has_any:
            return True
        if self.is_leaving(endpoint):
            return False
        if not self.is_resting(endpoint):
            return True
        self._host.metrics.limited_choices.increment(endpoint.listed.deployment)
        return False

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has told this host or a peer that it leaves."""
        endpoint_id, incarnation = endpoint.host, endpoint.listed.incarnation
        return self._statements.is_leaving(
            endpoint_id, incarnation
        ) or self._has_said_leaving(endpoint)

    def rests_until(self, endpoint: Endpoint, instant: float) -> float | None:
        """Return until when an endpoint wants nothing of this host, or None."""
        return self._statements.rests_until(
            endpoint.address_and_port, endpoint.listed.incarnation, instant
        )

    def is_resting(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint wants no more requests of this host for now."""
        return self.rests_until(endpoint, now()) is not None

    def rest_seconds(self, service: str) -> float:
        """Return for how long all endpoints of a service rest; 0 if one does not."""
        if not self._statements.has_any:
            return 0.0
        instant = now()
        ends = [
            self.rests_until(endpoint, instant)
            for endpoint in self._host.site.usable_endpoints(service, instant)
        ]
        return min((end - instant if end else 0.0 for end in ends), default=0.0)

    def update(self) -> None:
        """Apply statements to endpoints that are listed by now, and drop old ones.

        A rest outlasts a gap in the list: the endpoint may be listed again before it
        ends.
        """
        if not self._statements.has_any:
            return
        self._statements.expire(now(), self._host.wall_time())
        for endpoint in self._host.site.endpoints.all():
            if endpoint.is_listed:
                if self._has_said_leaving(endpoint):
                    self._publish_leaving(endpoint)
                self._mark_leaving(endpoint.host)
            elif self._statements.forget_leaving(endpoint.host):
                self._host.membership.table.remove(LEAVING_FACT, endpoint.host)

    def _has_said_leaving(self, endpoint: Endpoint) -> bool:
        return self._statements.has_said_leaving(
            endpoint.address_and_port, endpoint.listed.incarnation
        )

    def _publish_leaving(self, endpoint: Endpoint) -> None:
        """Tell the peers that an endpoint leaves, unless this is known."""
        fact = self._statements.leaving_fact(endpoint.host, endpoint.listed.incarnation)
        if fact is not None:
            self.apply_facts(self._host.membership.merge([fact], now()))

    def _mark_leaving(self, endpoint_id: str) -> None:
        """Let an endpoint that leaves be replaced, as if the list said that it does."""
        endpoints = self._host.site.endpoints
        endpoint = endpoints.get(endpoint_id)
        if endpoint is None or endpoint.is_reclaimed:
            return
        if self._statements.is_leaving(endpoint_id, endpoint.listed.incarnation):
            fact = endpoints.leaving_fact(endpoint_id, 0.0)
            if fact is not None:
                endpoints.apply(fact, now())
