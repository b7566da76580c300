"""Relays connections to endpoints for peers that have lost their links to them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from amaranthhollow.peers.relay_protocol import (
    END_FRAME,
    MAX_TARGET_BYTES,
    FrameReader,
    RelayStatus,
    encode_frame,
)
from amaranthhollow.serving.endpoint_connection import set_timeouts

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RelayListener"]

BACKLOG = 1024
MAX_CONNECTIONS = 1024
CONNECT_TIMEOUT_SECONDS = 0.4


class RelayListener:
    """Accepts peers at one address and connects them to the endpoints they ask for.

    ``may_relay`` gets the ``ADDRESS:PORT`` that a peer asks for, and returns whether
    it is that of an endpoint. ``can_relay`` returns whether this host may reach it, and
    goes on running. ``notify_connect`` gets each connection's result.
    """

    def __init__(
        self,
        address: str,
        port: int,
        *,
        may_relay: Callable[[str], bool],
        can_relay: Callable[[str], bool],
        notify_connect: Callable[[str, bool], None],
    ) -> None:
        """Listen once :meth:`start` is called."""
        self._address = address
        self._port = port
        self.may_relay = may_relay
        self.can_relay = can_relay
        self.notify_connect = notify_connect
        self.connections: set[_PeerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind the address and accept peers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _PeerConnection(self),
            self._address,
            self._port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def stop(self) -> None:
        """Stop accepting peers."""
        if self._server is not None:
            self._server.close()


class _PeerConnection(asyncio.Protocol):
    """The connection from a peer."""

    def __init__(self, listener: RelayListener) -> None:
        self._listener = listener
        self._reader = FrameReader()
        self._received = 0
        self.transport: asyncio.Transport | None = None
        self._endpoint: _EndpointSide | None = None
        self._connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if len(self._listener.connections) >= MAX_CONNECTIONS:
            transport.abort()
            return
        set_timeouts(transport.get_extra_info("socket"))
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._endpoint is not None:
            self._endpoint.transport.write(data)
            return
        self._received += len(data)
        frames = self._reader.feed(data)
        if self._received > MAX_TARGET_BYTES or self._connecting is not None:
            self.transport.abort()
        elif frames:
            target = frames[0].decode("ascii", "replace")
            self._connecting = asyncio.create_task(self._connect(target))

    def pause_writing(self) -> None:
        """Stop reading from the endpoint while the peer does not read."""
        if self._endpoint is not None:
            self._endpoint.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the endpoint again."""
        if self._endpoint is not None:
            self._endpoint.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self._listener.connections.discard(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self._endpoint is not None:
            self._endpoint.transport.abort()

    async def _connect(self, target: str) -> None:
        listener = self._listener
        if not listener.can_relay(target):
            return self._reject(RelayStatus.NO_LINKS)
        if not listener.may_relay(target):
            return self._reject(RelayStatus.ENDPOINT_FAILED)
        address, _, port = target.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: _EndpointSide(self), address, int(port)
                )
        except (OSError, TimeoutError, ValueError):
            listener.notify_connect(target, False)
            if listener.can_relay(target):
                return self._reject(RelayStatus.ENDPOINT_FAILED)
            return self._reject(RelayStatus.NO_LINKS)
        return listener.notify_connect(target, True)

    def start_relaying(self, endpoint: _EndpointSide) -> None:
        """Tell the peer that it is connected, unless it has left meanwhile."""
        if self.transport.is_closing():
            endpoint.transport.abort()
            return
        self._endpoint = endpoint
        self.transport.write(bytes([RelayStatus.CONNECTED]))

    def _reject(self, status: RelayStatus) -> None:
        self.transport.write(bytes([status]))
        self.transport.close()


class _EndpointSide(asyncio.Protocol):
    """The connection to the endpoint."""

    def __init__(self, peer_connection: _PeerConnection) -> None:
        self._peer_connection = peer_connection
        self._peer = peer_connection.transport
        self._has_ended = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        set_timeouts(transport.get_extra_info("socket"))
        self._peer_connection.start_relaying(self)

    def data_received(self, data: bytes) -> None:
        self._peer.write(encode_frame(data))

    def eof_received(self) -> None:
        self._has_ended = True
        self._peer.write(END_FRAME)

    def pause_writing(self) -> None:
        """Stop reading from the peer while the endpoint does not read."""
        self._peer.pause_reading()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        self._peer.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        if self._has_ended and error is None:
            self._peer.close()
        else:
            self._peer.abort()
