"""Connects to an endpoint through a peer that relays the connection."""

from __future__ import annotations

import asyncio

from amaranthhollow.peers.relay_protocol import (
    FrameReader,
    RelayStatus,
    encode_target,
)
from amaranthhollow.serving.endpoint_connection import (
    EndpointConnection,
    set_timeouts,
)

__all__ = ["connect_through_peer"]


class _RelayedConnection(asyncio.Protocol):
    """Passes what arrives through a peer on to the connection to an endpoint."""

    def __init__(self, address: str, port: int) -> None:
        self.connection = EndpointConnection()
        self.status: asyncio.Future[RelayStatus] = (
            asyncio.get_running_loop().create_future()
        )
        self._target = encode_target(address, port)
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._has_ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        set_timeouts(transport.get_extra_info("socket"))
        transport.write(self._target)

    def data_received(self, data: bytes) -> None:
        if not self.status.done():
            status = _decode_status(data[0])
            if status is RelayStatus.CONNECTED:
                self.connection.connection_made(self._transport)
            self.status.set_result(status)
            data = data[1:]
        for frame in self._reader.feed(data):
            if frame:
                self.connection.data_received(frame)
            else:
                self._has_ended = True
                self.connection.eof_received()
        if self._reader.is_oversized:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.status.done():
            self.status.set_result(RelayStatus.NO_LINKS)
        if not self._has_ended and error is None:
            error = ConnectionResetError("the relaying peer closed the connection")
        self.connection.connection_lost(error)


def _decode_status(byte: int) -> RelayStatus:
    """Return a status; one that is not known here counts as a peer without links."""
    try:
        return RelayStatus(byte)
    except ValueError:
        return RelayStatus.NO_LINKS


async def connect_through_peer(
    peer: tuple[str, int],
    endpoint: tuple[str, int],
    timeout_seconds: float,
) -> EndpointConnection | RelayStatus:
    """Connect to ``endpoint`` through ``peer``, or return why this failed.

    Both are given by address and port. An unreachable peer has no links.
    """
    loop = asyncio.get_running_loop()
    transport = None
    status = RelayStatus.NO_LINKS
    try:
        async with asyncio.timeout(timeout_seconds):
            transport, relayed = await loop.create_connection(
                lambda: _RelayedConnection(*endpoint), *peer
            )
            status = await asyncio.shield(relayed.status)
    except (OSError, TimeoutError):
        pass
    finally:
        if transport is not None and status is not RelayStatus.CONNECTED:
            transport.abort()
    if status is not RelayStatus.CONNECTED:
        return status
    relayed.connection.relay = peer[0]
    return relayed.connection
