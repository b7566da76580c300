"""Tracks which endpoints are live, leaving or gone.

The sources are the platform's host list, its reclaim notices and gossip. Facts about an
endpoint are ordered by incarnation and then by status, so an outdated list or peer
cannot make a leaving endpoint live again. An endpoint missing from the list is only
avoided, not removed, since the list may be older than the endpoint.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.statechart import load_chart

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

__all__ = [
    "ENDPOINT_FACT",
    "Endpoint",
    "EndpointStatus",
    "EndpointTable",
    "ListedEndpoint",
]

ENDPOINT_FACT = "endpoint"
UNLISTED_RETENTION_SECONDS = 3600.0
FAILURE_BACKOFF_SECONDS = 0.5
MAX_FAILURE_BACKOFF_SECONDS = 10.0


class EndpointStatus(IntEnum):
    """The status of one incarnation of an endpoint; it never decreases."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class ListedEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint as the platform lists it.

    ``leaves_at`` is the announced time of the reclaim, in seconds since the Unix epoch,
    or 0 if none is announced. ``slots`` is how many requests the endpoint runs
    concurrently. The platform may reclaim an endpoint that ``is_reclaimable``. What
    endpoints of two ``software_version`` write does not fit together in one stream.
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
    software_version: str = ""


@dataclass(frozen=True)
class Endpoint:
    """An endpoint and its state as observed by this daemon.

    ``state`` follows the state chart ``endpoint``. A failed endpoint gets no requests
    before ``retry_at``. ``is_listed`` is false while the host is missing from the
    platform's list.
    """

    listed: ListedEndpoint
    state: str
    failures: int = 0
    retry_at: float = 0.0
    is_listed: bool = True

    @property
    def host(self) -> str:
        """The host of the endpoint, which identifies it."""
        return self.listed.host

    @property
    def is_reclaimed(self) -> bool:
        """Whether a reclaim notice or the list marked the host as leaving or gone."""
        return self.state in ("leaving", "gone")

    @property
    def address_and_port(self) -> str:
        """The address on which the endpoint listens, as ``ADDRESS:PORT``."""
        return f"{self.listed.address}:{self.listed.port}"

    @property
    def url(self) -> str:
        """Base URL of the endpoint."""
        return f"http://{self.address_and_port}"


class EndpointTable:
    """The endpoints that one daemon has observed, by host."""

    def __init__(self) -> None:
        """Start without endpoints."""
        self._chart = load_chart("endpoint")
        self._by_host: dict[str, Endpoint] = {}
        self._expires_at_by_host: dict[str, float] = {}

    def get(self, host: str) -> Endpoint | None:
        """Return the endpoint on ``host``."""
        return self._by_host.get(host)

    def all(self) -> list[Endpoint]:
        """Return all endpoints, including those that are gone."""
        return list(self._by_host.values())

    def at_address(self, address_and_port: str) -> Endpoint | None:
        """Return the endpoint that listens at ``ADDRESS:PORT``, as far as known.

        Of several that had the address, this is a listed one, or the last to start.
        """
        found = [
            endpoint
            for endpoint in self._by_host.values()
            if endpoint.address_and_port == address_and_port
        ]
        return max(
            found, key=lambda e: (e.is_listed, e.listed.incarnation), default=None
        )

    def usable(
        self,
        deployment: str,
        now: float,
        *,
        includes_unlisted: bool = True,
        is_eligible: Callable[[Endpoint], bool] | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints of a deployment that may get new requests.

        If all of them failed recently, all are returned: rejecting every request until
        a backoff ends would turn one lost connection per endpoint into an outage. If
        all of them are missing from the list, they are returned unless
        ``includes_unlisted`` is false because the list is known to be current. With
        ``is_eligible``, all other endpoints are left out first.
        """
        remaining = [
            endpoint
            for endpoint in self._by_host.values()
            if endpoint.listed.deployment == deployment and not endpoint.is_reclaimed
        ]
        candidates = [e for e in remaining if e.is_listed]
        if includes_unlisted and not candidates:
            candidates = remaining
        if is_eligible is not None:
            candidates = [e for e in candidates if is_eligible(e)]
        return [e for e in candidates if e.retry_at <= now] or candidates

    def facts_from_list(self, listed: Iterable[ListedEndpoint]) -> list[Fact]:
        """Return the facts of a host list; leaving hosts missing from it are gone."""
        by_host = {item.host: item for item in listed}
        facts = [endpoint_fact(item) for item in by_host.values()]
        for host, endpoint in self._by_host.items():
            if host not in by_host and endpoint.state == "leaving":
                status = EndpointStatus.GONE
                item = msgspec.structs.replace(endpoint.listed, status=status)
                facts.append(endpoint_fact(item))
        return facts

    def update_listed(self, hosts: Collection[str], now: float) -> None:
        """Update which endpoints are in the newest list."""
        for host, endpoint in list(self._by_host.items()):
            is_listed = host in hosts
            if is_listed:
                self._expires_at_by_host.pop(host, None)
            else:
                deadline = now + UNLISTED_RETENTION_SECONDS
                self._expires_at_by_host.setdefault(host, deadline)
            if endpoint.is_listed is not is_listed:
                self._by_host[host] = replace(endpoint, is_listed=is_listed)

    def leaving_fact(self, host: str, leaves_at: float) -> Fact | None:
        """Return the fact for a reclaim notice, or None for an unknown host."""
        endpoint = self._by_host.get(host)
        if endpoint is None:
            return None
        item = msgspec.structs.replace(
            endpoint.listed, status=EndpointStatus.LEAVING, leaves_at=leaves_at
        )
        return endpoint_fact(item)

    def apply(self, fact: Fact, now: float) -> Endpoint:
        """Apply a fact that gossip reported as new, unless its incarnation is older."""
        item = msgspec.msgpack.decode(fact.value, type=ListedEndpoint)
        previous = self._by_host.get(item.host)
        if previous is not None and item.incarnation < previous.listed.incarnation:
            return previous
        if previous is None or previous.listed.incarnation < item.incarnation:
            previous = Endpoint(item, self._chart.initial_state)
        event = _EVENTS_BY_STATUS[item.status]
        state = previous.state
        if event is not None and self._chart.accepts(state, event):
            state = self._chart.advance(state, event)
        endpoint = replace(previous, listed=item, state=state)
        self._by_host[item.host] = endpoint
        return endpoint

    def record_failure(self, host: str, now: float) -> None:
        """Mark an endpoint as suspected and avoid it until its backoff ends."""
        endpoint = self._by_host.get(host)
        if endpoint is None:
            return
        failures = endpoint.failures + 1
        backoff = FAILURE_BACKOFF_SECONDS * 2 ** min(failures - 1, 8)
        retry_at = now + min(backoff, MAX_FAILURE_BACKOFF_SECONDS)
        state = self._advance_if_accepted(endpoint.state, "suspect")
        self._by_host[host] = replace(
            endpoint, state=state, failures=failures, retry_at=retry_at
        )

    def record_success(self, host: str) -> None:
        """Clear the failures of an endpoint that responded."""
        endpoint = self._by_host.get(host)
        if endpoint is not None and endpoint.failures:
            state = self._advance_if_accepted(endpoint.state, "recover")
            self._by_host[host] = replace(
                endpoint, state=state, failures=0, retry_at=0.0
            )

    def expire(self, now: float) -> list[str]:
        """Remove endpoints that were unlisted for too long; return their hosts."""
        expired = [h for h, at in self._expires_at_by_host.items() if at <= now]
        for host in expired:
            del self._expires_at_by_host[host]
            self._by_host.pop(host, None)
        return expired

    def _advance_if_accepted(self, state: str, event: str) -> str:
        if self._chart.accepts(state, event):
            return self._chart.advance(state, event)
        return state


_EVENTS_BY_STATUS = {
    EndpointStatus.LIVE: None,
    EndpointStatus.LEAVING: "leave",
    EndpointStatus.GONE: "remove",
}


def endpoint_fact(item: ListedEndpoint) -> Fact:
    """Return the gossip fact for a listed endpoint."""
    version = Version(item.incarnation, int(item.status))
    return Fact(ENDPOINT_FACT, item.host, version, msgspec.msgpack.encode(item))
