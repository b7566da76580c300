"""Shares among hosts which software version began each stream, and asks for it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.stream_origins import (
    MIN_STREAM_SECONDS,
    HolderTable,
    OriginTable,
    SeenVersions,
    StreamOrigin,
    VersionHistory,
    resumable_version,
    stream_lifetime,
)
from amaranthhollow.entry.stream_log import StreamLog
from amaranthhollow.peers.datagrams import OriginQuery, OriginReply, StreamStarted
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Collection

    from amaranthhollow.entry.host import Host
    from amaranthhollow.entry.peering import Peering
    from amaranthhollow.serving.admission import Admitted
    from amaranthhollow.serving.request import CallerRequest

__all__ = ["StreamOrigins"]

# A reply takes a few milliseconds; a lost datagram is sent again once.
REPLY_TIMEOUT_SECONDS = 0.05
QUERY_ROUNDS = 2

log = logbook.Logger("streams")


@dataclass
class _Lookup:
    """A question to other hosts, and what they have replied."""

    awaited: set[str]
    version: str | None = None
    seen: list[SeenVersions] = field(default_factory=list)
    progress: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_finished(self) -> bool:
        return self.version is not None or not self.awaited


class StreamOrigins:
    """The origins of streams that callers may take up at any host."""

    def __init__(self, host: Host, peering: Peering) -> None:
        """Exchange origins on behalf of ``host``."""
        self._host = host
        self._peering = peering
        self._table = OriginTable()
        self._holder_table = HolderTable()
        self._history = VersionHistory(is_first_start=host.settings.is_first_start)
        self._nonce = host.random.getrandbits(32)
        self._lookups_by_nonce: dict[int, _Lookup] = {}
        self._mixed_services: set[str] = set()
        self._log = StreamLog(host, self._table, self._history)
        peering.receive_stream_message = self._receive

    async def run(self) -> None:
        """Store origins and versions while this host is the one to do so."""
        await self._log.run()

    def record_started(
        self, request: CallerRequest, admitted: Admitted, software_version: str
    ) -> None:
        """Record and send where a stream begins or goes on, before its first event."""
        is_resumed = request.last_event_id is not None and request.resumed_id
        request_id = request.resumed_id if is_resumed else request.request_id
        origin = self._record(request_id, admitted, software_version)
        versions = self._history.versions_since(now() - MIN_STREAM_SECONDS)
        if len({*versions.get(admitted.service, ()), software_version}) > 1:
            self._share(request_id, origin)

    async def find_version(
        self, request: CallerRequest, admitted: Admitted
    ) -> str | None:
        """Return the software version at which a stream may go on, or None."""
        service, request_id = admitted.service, request.resumed_id or ""
        version = self._table.find(request_id, service)
        if version is not None:
            return version
        lifetime = stream_lifetime(admitted.route.timeout_seconds)
        since = self._host.wall_time() - lifetime
        data_centres_by_peer = self._data_centres_by_peer()
        first = self._holder_table.holders(request_id, data_centres_by_peer)
        others = [peer for peer in data_centres_by_peer if peer not in first]
        seen = [self._seen(service, since, is_alone=True)]
        for hosts in (first, others):
            lookup = await self._ask(hosts, request_id, service, since)
            if lookup.version is not None:
                self._record(request_id, admitted, lookup.version)
                return lookup.version
            seen += lookup.seen
        await self._log.read()
        version = self._table.find(request_id, service)
        if version is not None:
            return version
        is_cut_off = bool(data_centres_by_peer) and len(seen) == 1
        seen.append(self._seen(service, since, is_alone=True))
        version = resumable_version(seen, is_cut_off=is_cut_off)
        log.info(
            "origin of a stream unknown",
            extra={
                "request": request.request_id,
                "resumes": request.resumed_id,
                "seen": sorted({v for found in seen for v in found.versions}),
                "complete": sum(found.is_complete for found in seen),
                "replies": len(seen) - 2,
            },
        )
        return version

    def update(self) -> None:
        """Record the versions of the listed endpoints, and drop expired origins.

        The origins of a service are shared once it has a second version. Before that,
        the only version tells where any of its streams began.
        """
        self._observe_versions()
        self._log.update()
        self._table.expire(self._host.wall_time())
        versions_by_service = self._history.versions_since(now() - MIN_STREAM_SECONDS)
        mixed = {s for s, versions in versions_by_service.items() if len(versions) > 1}
        for service in mixed - self._mixed_services:
            for request_id, origin in self._table.origins(service).items():
                self._share(request_id, origin)
        self._mixed_services = mixed

    def _share(self, request_id: str, origin: StreamOrigin) -> None:
        """Send an origin to its holders, and to the host that stores it."""
        self._log.add(request_id, origin)
        message = StreamStarted(request_id, origin)
        data_centres_by_peer = self._data_centres_by_peer()
        chosen = self._holder_table.holders(request_id, data_centres_by_peer)
        for peer in {*chosen, *self._log.writers()}:
            self._peering.send(peer, message)

    def _record(
        self, request_id: str, admitted: Admitted, software_version: str
    ) -> StreamOrigin:
        lifetime = stream_lifetime(admitted.route.timeout_seconds)
        expires_at = self._host.wall_time() + lifetime
        origin = StreamOrigin(admitted.service, software_version, expires_at)
        self._table.record(request_id, origin)
        return origin

    def _data_centres_by_peer(self) -> dict[str, str]:
        membership = self._host.membership
        return {peer: membership.info(peer).data_centre for peer in membership.peers}

    def _observe_versions(self) -> None:
        site = self._host.site
        confirmed_at = site.endpoints_freshness.confirmed_at
        if confirmed_at is not None:
            versions_by_service: dict[str, set[str]] = {}
            for endpoint in site.endpoints.all():
                if endpoint.is_listed:
                    listed = endpoint.listed
                    versions = versions_by_service.setdefault(listed.deployment, set())
                    versions.add(listed.software_version)
            self._history.observe(versions_by_service, confirmed_at)

    def _seen(
        self, service: str, since: float, *, is_alone: bool = False
    ) -> SeenVersions:
        """Return what this host has seen since a time in Unix seconds."""
        self._observe_versions()
        instant = now()
        seconds = self._host.wall_time() - since
        return self._history.seen(
            service, instant - seconds, instant, is_alone=is_alone
        )

    async def _ask(
        self, hosts: Collection[str], request_id: str, service: str, since: float
    ) -> _Lookup:
        """Ask hosts for the origin of a stream until one knows it or all replied."""
        self._nonce += 1
        nonce = self._nonce
        lookup = self._lookups_by_nonce[nonce] = _Lookup(set(hosts))
        query = OriginQuery(nonce, self._host.name, request_id, service, since)
        try:
            for _ in range(QUERY_ROUNDS):
                for peer in lookup.awaited:
                    self._peering.send(peer, query)
                deadline = now() + REPLY_TIMEOUT_SECONDS
                while not lookup.is_finished and now() < deadline:
                    lookup.progress.clear()
                    await _wait(lookup.progress, deadline - now())
                if lookup.is_finished:
                    break
        finally:
            del self._lookups_by_nonce[nonce]
        return lookup

    def _receive(self, message: StreamStarted | OriginQuery | OriginReply) -> None:
        """Process a peer's message about a stream."""
        match message:
            case StreamStarted(request_id, origin):
                self._table.record(request_id, origin)
                self._log.add(request_id, origin)
            case OriginQuery(nonce, host, request_id, service, since):
                seen = self._seen(service, since)
                version = self._table.find(request_id, service)
                versions = tuple(sorted(seen.versions))
                name = self._host.name
                reply = OriginReply(nonce, name, version, versions, seen.is_complete)
                self._peering.send(host, reply)
            case OriginReply(nonce, host, version, versions, is_complete):
                lookup = self._lookups_by_nonce.get(nonce)
                if lookup is not None and host in lookup.awaited:
                    lookup.awaited.discard(host)
                    lookup.version = lookup.version or version
                    seen = SeenVersions(frozenset(versions), is_complete)
                    lookup.seen.append(seen)
                    lookup.progress.set()


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(max(0.0, seconds)):
            await event.wait()
    except TimeoutError:
        pass
