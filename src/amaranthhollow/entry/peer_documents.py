"""Fetches newer configurations and endpoint lists from peers, and serves its own.

Documents are compressed, but for hosts of earlier versions.
"""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err, Ok

from amaranthhollow.decisions.peer_protocols import PeerProtocol
from amaranthhollow.decoding import decode_msgpack
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.http_client import Call, HttpClient
from amaranthhollow.state.site_state import EndpointSnapshot

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.exchange import Exchange

__all__ = ["CONFIGURATION_TARGET", "ENDPOINTS_TARGET", "PeerDocuments"]

CONFIGURATION_TARGET = b"/configuration"
ENDPOINTS_TARGET = b"/endpoints"
# Time to transfer a compressed document several times over a link of 5 Mbit/s.
FETCH_TIMEOUT_SECONDS = 1.2
COMPRESSION_LEVEL = 1
# The first byte of a zlib stream with a window of 32 KB (RFC 1950 section 2.2).
ZLIB_HEADER = b"\x78"
# Several times the largest value of the store.
MAX_DOCUMENT_BYTES = 8 << 20
OK = 200
NOT_FOUND = 404

log = logbook.Logger("peers")


class PeerDocuments:
    """Exchanges the configuration and the endpoint list with other hosts."""

    def __init__(self, host: Host) -> None:
        """Fetch documents for ``host`` and serve the ones it has."""
        self._host = host
        self._port = host.settings.peer_ports.first
        self._clients_by_address: dict[str, HttpClient] = {}
        self._targets_in_flight: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._compressed_configuration = (b"", b"")

    def fetch(self, peer: str, target: bytes, confirmed_at: float | None) -> None:
        """Fetch a document that ``peer`` confirmed as newest at ``confirmed_at``."""
        info = self._host.membership.info(peer)
        if info is None or target in self._targets_in_flight or confirmed_at is None:
            return
        self._targets_in_flight.add(target)
        coroutine = self._fetch_from(info.address, target, confirmed_at)
        task = asyncio.create_task(coroutine, name=target.decode())
        self._tasks.add(task)
        task.add_done_callback(self._end_fetch)

    def _end_fetch(self, task: asyncio.Task[None]) -> None:
        """Let the document be fetched again, however its fetch has ended."""
        self._tasks.discard(task)
        self._targets_in_flight.discard(task.get_name().encode())
        if not task.cancelled() and task.exception() is not None:
            extra = {"document": task.get_name(), "error": repr(task.exception())}
            log.error("fetch from a peer failed", extra=extra)

    async def serve(self, exchange: Exchange) -> None:
        """Respond to a peer's request for a document."""
        site, target = self._host.site, exchange.head.path
        is_earlier = self._is_of_earlier_version(exchange.peer_address)
        if target == CONFIGURATION_TARGET and site.configuration is not None:
            value = site.configuration_value
            body = value if is_earlier else self._compress_configuration()
            exchange.respond(OK, [], body)
        elif target == ENDPOINTS_TARGET:
            encoded = msgspec.msgpack.encode(site.snapshot)
            compressed = zlib.compress(encoded, COMPRESSION_LEVEL)
            exchange.respond(OK, [], encoded if is_earlier else compressed)
        else:
            exchange.respond(NOT_FOUND, [], b"")

    def _is_of_earlier_version(self, address: str) -> bool:
        """Return whether the host at an address reads documents as they are only."""
        host = self._host
        return any(
            info.address == address
            and host.protocols.forms_for(peer) == (PeerProtocol.WHOLE_REPORTS,)
            for peer in host.membership.peers
            if (info := host.membership.info(peer)) is not None
        )

    async def _fetch_from(
        self, address: str, target: bytes, confirmed_at: float
    ) -> None:
        client = self._clients_by_address.get(address)
        if client is None:
            client = HttpClient(address, self._port)
            self._clients_by_address[address] = client
        response = await client.call(Call(b"GET", target), FETCH_TIMEOUT_SECONDS)
        if isinstance(response, Err) or response.ok_value.status != OK:
            return
        body = _decode_document(response.ok_value.body)
        if body is None:
            log.warning("peer's document unreadable", extra={"peer": address})
        elif target == CONFIGURATION_TARGET:
            self._host.site.apply_configuration(body, confirmed_at)
        else:
            self._apply_endpoints(body, confirmed_at)

    def _compress_configuration(self) -> bytes:
        """Return the configuration, which is compressed once for all peers."""
        value = self._host.site.configuration_value
        if self._compressed_configuration[0] is not value:
            compressed = zlib.compress(value, COMPRESSION_LEVEL)
            self._compressed_configuration = (value, compressed)
        return self._compressed_configuration[1]

    def _apply_endpoints(self, body: bytes, confirmed_at: float) -> None:
        match decode_msgpack(body, EndpointSnapshot):
            case Ok(snapshot):
                self._host.site.apply_endpoints(snapshot, confirmed_at, now())
            case Err(error):
                log.warning("peer's endpoints unreadable", extra={"error": error})


def _decode_document(data: bytes) -> bytes | None:
    """Return a document, or None if it is cut or too large.

    Hosts of earlier versions send it as it is; neither form begins like the other.
    """
    if not data.startswith(ZLIB_HEADER):
        return data
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return None
    return body if decompressor.eof else None
