"""Fetches newer documents from peers, and gives them what is held here."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.serving.clock import now
from amaranthhollow.serving.http_client import Call, HttpClient
from amaranthhollow.state.site_state import EndpointSnapshot

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.exchange import Exchange

__all__ = ["CONFIGURATION_TARGET", "ENDPOINTS_TARGET", "PeerDocuments"]

CONFIGURATION_TARGET = b"/configuration"
ENDPOINTS_TARGET = b"/endpoints"
# A document of a megabyte passes a link of 100 Mbit/s several times over.
FETCH_TIMEOUT_SECONDS = 0.7
OK = 200
NOT_FOUND = 404

log = logbook.Logger("peers")


class PeerDocuments:
    """The configuration and the endpoints, as hosts pass them on."""

    def __init__(self, host: Host) -> None:
        """Fetch for ``host``, and serve what it holds."""
        self._host = host
        self._port = host.settings.peer_ports.first
        self._callers_by_address: dict[str, HttpClient] = {}
        self._fetching: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def fetch(self, name: str, target: bytes, proven_at: float | None) -> None:
        """Fetch a document from the peer that vouches for it since ``proven_at``."""
        info = self._host.membership.info(name)
        if info is None or target in self._fetching or proven_at is None:
            return
        self._fetching.add(target)
        job = self._fetch_from(info.address, target, proven_at)
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def serve(self, exchange: Exchange) -> None:
        """Answer a peer that fetches a document."""
        site, target = self._host.site, exchange.head.path
        if target == CONFIGURATION_TARGET and site.configuration is not None:
            exchange.respond(OK, [], site.configuration_value)
        elif target == ENDPOINTS_TARGET:
            exchange.respond(OK, [], msgspec.msgpack.encode(site.snapshot))
        else:
            exchange.respond(NOT_FOUND, [], b"")

    async def _fetch_from(self, address: str, target: bytes, proven_at: float) -> None:
        caller = self._callers_by_address.get(address)
        if caller is None:
            caller = HttpClient(address, self._port)
            self._callers_by_address[address] = caller
        answer = await caller.call(Call(b"GET", target), FETCH_TIMEOUT_SECONDS)
        self._fetching.discard(target)
        if isinstance(answer, Err) or answer.ok_value.status != OK:
            return
        if target == CONFIGURATION_TARGET:
            self._host.site.apply_configuration(answer.ok_value.body, proven_at)
        else:
            self._apply_endpoints(answer.ok_value.body, proven_at)

    def _apply_endpoints(self, body: bytes, proven_at: float) -> None:
        try:
            snapshot = msgspec.msgpack.decode(body, type=EndpointSnapshot)
        except msgspec.DecodeError as error:
            log.warning("peer's endpoints unreadable", extra={"error": str(error)})
            return
        self._host.site.apply_endpoints(snapshot, proven_at, now())
