"""Which endpoints are live, leaving or gone, from the host list, notices and gossip.

Facts about an endpoint are ordered by its incarnation and then by status, so that
leaving is sticky: neither a late list nor a late peer brings an endpoint back. A host
that the list lacks is only avoided, since the list may be older than the host.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.statechart import load_chart

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

__all__ = [
    "ENDPOINT_FACT",
    "Endpoint",
    "EndpointStatus",
    "EndpointTable",
    "ListedEndpoint",
]

ENDPOINT_FACT = "endpoint"
RETENTION_SECONDS = 3600.0
FAILURE_BACKOFF_SECONDS = 0.5
MAX_FAILURE_BACKOFF_SECONDS = 10.0


class EndpointStatus(IntEnum):
    """The status of one incarnation of an endpoint; it only ever rises."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint as the platform lists it.

    ``leaves_at`` is the announced instant of the reclaim, in seconds since the
    Unix epoch, or 0 if none is announced. ``slots`` is how many requests it runs
    at once; a reclaimable one may be taken away by the platform.
    """

    host: str
    incarnation: int
    address: str
    port: int
    data_centre: str
    deployment: str
    status: EndpointStatus = EndpointStatus.LIVE
    leaves_at: float = 0.0
    slots: int = 1
    is_reclaimable: bool = False


@dataclass(frozen=True)
class Endpoint:
    """An endpoint as this daemon sees it.

    ``state`` follows the chart ``endpoint``; ``retry_at`` is the instant until
    which a failed endpoint gets no request. ``is_listed`` is false while the
    platform's list lacks the host.
    """

    listed: ListedEndpoint
    state: str
    failures: int = 0
    retry_at: float = 0.0
    is_listed: bool = True

    @property
    def host(self) -> str:
        """The host that names the endpoint."""
        return self.listed.host

    @property
    def is_reclaimed(self) -> bool:
        """Tell whether the host is leaving or gone, by notice or by the list."""
        return self.state in ("leaving", "gone")

    @property
    def address_and_port(self) -> str:
        """Where the endpoint listens, as ``ADDRESS:PORT``."""
        return f"{self.listed.address}:{self.listed.port}"

    @property
    def url(self) -> str:
        """Base URL of the endpoint."""
        return f"http://{self.address_and_port}"


class EndpointTable:
    """The endpoints that one daemon knows, by host."""

    def __init__(self) -> None:
        """Start without endpoints."""
        self._chart = load_chart("endpoint")
        self._by_host: dict[str, Endpoint] = {}
        self._forget_at_by_host: dict[str, float] = {}

    def get(self, host: str) -> Endpoint | None:
        """Return the endpoint on ``host``."""
        return self._by_host.get(host)

    def all(self) -> list[Endpoint]:
        """Return every endpoint, gone ones included."""
        return list(self._by_host.values())

    def usable(
        self, deployment: str, now: float, *, includes_unlisted: bool = True
    ) -> list[Endpoint]:
        """Return the endpoints of a deployment that may get new work.

        When all of them failed a moment ago, all are tried: refusing every request
        until a backoff ends would turn one lost connection each into an outage. So
        are hosts that the list lacks, when it lacks all of them, unless the list is
        known to be no older than the hosts.
        """
        staying = [
            endpoint
            for endpoint in self._by_host.values()
            if endpoint.listed.deployment == deployment and not endpoint.is_reclaimed
        ]
        candidates = [e for e in staying if e.is_listed]
        if includes_unlisted and not candidates:
            candidates = staying
        return [e for e in candidates if e.retry_at <= now] or candidates

    def facts_from_list(self, listed: Iterable[ListedEndpoint]) -> list[Fact]:
        """Return the facts of a host list; leaving hosts that it lacks are gone."""
        by_host = {item.host: item for item in listed}
        facts = [fact_of(item) for item in by_host.values()]
        for host, endpoint in self._by_host.items():
            if host not in by_host and endpoint.state == "leaving":
                status = EndpointStatus.GONE
                item = msgspec.structs.replace(endpoint.listed, status=status)
                facts.append(fact_of(item))
        return facts

    def note_listed(self, hosts: Collection[str], now: float) -> None:
        """Note which endpoints the newest list has."""
        for host, endpoint in list(self._by_host.items()):
            is_listed = host in hosts
            if is_listed:
                self._forget_at_by_host.pop(host, None)
            else:
                deadline = now + RETENTION_SECONDS
                self._forget_at_by_host.setdefault(host, deadline)
            if endpoint.is_listed is not is_listed:
                self._by_host[host] = replace(endpoint, is_listed=is_listed)

    def leaving_fact(self, host: str, leaves_at: float) -> Fact | None:
        """Return the fact of a reclaim notice, or None for an unknown host."""
        endpoint = self._by_host.get(host)
        if endpoint is None:
            return None
        item = msgspec.structs.replace(
            endpoint.listed, status=EndpointStatus.LEAVING, leaves_at=leaves_at
        )
        return fact_of(item)

    def apply(self, fact: Fact, now: float) -> Endpoint:
        """Take in a fact that gossip found new."""
        item = msgspec.msgpack.decode(fact.value, type=ListedEndpoint)
        known = self._by_host.get(item.host)
        if known is None or known.listed.incarnation < item.incarnation:
            known = Endpoint(item, self._chart.initial_state)
        event = _EVENTS_BY_STATUS[item.status]
        state = known.state
        if event is not None and self._chart.accepts(state, event):
            state = self._chart.advance(state, event)
        endpoint = replace(known, listed=item, state=state)
        self._by_host[item.host] = endpoint
        return endpoint

    def failed(self, host: str, now: float) -> None:
        """Keep new work away from an endpoint for a while after a failure."""
        endpoint = self._by_host.get(host)
        if endpoint is None:
            return
        failures = endpoint.failures + 1
        backoff = FAILURE_BACKOFF_SECONDS * 2 ** min(failures - 1, 8)
        retry_at = now + min(backoff, MAX_FAILURE_BACKOFF_SECONDS)
        state = self._move(endpoint.state, "suspect")
        self._by_host[host] = replace(
            endpoint, state=state, failures=failures, retry_at=retry_at
        )

    def succeeded(self, host: str) -> None:
        """End the suspicion of an endpoint that answered."""
        endpoint = self._by_host.get(host)
        if endpoint is not None and endpoint.failures:
            state = self._move(endpoint.state, "recover")
            self._by_host[host] = replace(
                endpoint, state=state, failures=0, retry_at=0.0
            )

    def expire(self, now: float) -> list[str]:
        """Forget endpoints that the list has lacked for long; returns their hosts."""
        expired = [h for h, at in self._forget_at_by_host.items() if at <= now]
        for host in expired:
            del self._forget_at_by_host[host]
            self._by_host.pop(host, None)
        return expired

    def _move(self, state: str, event: str) -> str:
        if self._chart.accepts(state, event):
            return self._chart.advance(state, event)
        return state


_EVENTS_BY_STATUS = {
    EndpointStatus.LIVE: None,
    EndpointStatus.LEAVING: "leave",
    EndpointStatus.GONE: "remove",
}


def fact_of(item: ListedEndpoint) -> Fact:
    """Return the fact that says what the platform lists."""
    version = Version(item.incarnation, int(item.status))
    return Fact(ENDPOINT_FACT, item.host, version, msgspec.msgpack.encode(item))
