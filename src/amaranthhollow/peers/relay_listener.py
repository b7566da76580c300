"""Relays connections to endpoints for peers that have lost their links to them.

To an endpoint, the requests of a relayed connection come from this host, and what it
says in its responses is said to this host.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from amaranthhollow.peers.relay_protocol import (
    END_FRAME,
    MAX_TARGET_BYTES,
    FrameReader,
    RelayStatus,
    encode_frame,
)
from amaranthhollow.peers.relayed_exchange import RelayedExchange
from amaranthhollow.serving.acceptor import Acceptor
from amaranthhollow.serving.endpoint_connection import set_timeouts
from amaranthhollow.serving.unsent_bytes import has_unsent_bytes

if TYPE_CHECKING:
    from amaranthhollow.serving.messages import Header, ResponseHead

__all__ = ["RelayListener", "RelayPolicy"]

DEFAULT_MAX_CONNECTIONS = 256
CONNECT_TIMEOUT_SECONDS = 0.4


class RelayPolicy(Protocol):
    """What a host relays for its peers.

    Endpoints are given as ``ADDRESS:PORT``.
    """

    def is_endpoint(self, target: str) -> bool:
        """Return whether an endpoint listens there."""

    def can_reach(self, target: str) -> bool:
        """Return whether this host may reach it, and goes on running."""

    def rejection(self, target: str, identifier: bytes | None) -> bytes | None:
        """Return the response to a request that may not be sent there now, or None.

        ``identifier`` is that of the request, if its head has arrived.
        """

    def find_identifier(self, headers: tuple[Header, ...]) -> bytes | None:
        """Return the identifier of a request, from its headers or its response's."""

    def notify_connect(self, target: str, succeeded: bool) -> None:
        """Get the result of a connection."""

    def notify_response_head(self, target: str, head: ResponseHead) -> None:
        """Get the head of a response."""


class RelayListener:
    """Accepts peers at one address and connects them to the endpoints they ask for."""

    def __init__(
        self,
        address: str,
        port: int,
        policy: RelayPolicy,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        """Listen once :meth:`start` is called.

        Each of up to ``max_connections`` from peers needs another one to an endpoint.
        """
        self.policy = policy
        self.connections: set[_PeerConnection] = set()
        self._acceptor = Acceptor(
            lambda: _PeerConnection(self), address, port, max_connections
        )

    async def start(self) -> None:
        """Bind the address and accept peers."""
        self._acceptor.start()

    def stop(self) -> None:
        """Stop accepting peers."""
        self._acceptor.stop()

    def remove(self, connection: _PeerConnection) -> None:
        """Remove a connection that has been lost."""
        self.connections.discard(connection)
        self._acceptor.release()


class _PeerConnection(asyncio.Protocol):
    """The connection from a peer."""

    def __init__(self, listener: RelayListener) -> None:
        self._listener = listener
        self._reader = FrameReader()
        self._received = 0
        self.transport: asyncio.Transport | None = None
        self._endpoint: _EndpointSide | None = None
        self._has_rejected = False
        self._connecting: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        set_timeouts(transport.get_extra_info("socket"))
        self._listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._has_rejected:
            return
        if self._endpoint is not None:
            self._pass_on(self._endpoint, data)
            return
        self._received += len(data)
        frames = self._reader.feed(data)
        if self._received > MAX_TARGET_BYTES or self._connecting is not None:
            self.transport.abort()
        elif frames:
            target = frames[0].decode("ascii", "replace")
            self._connecting = asyncio.create_task(self._connect(target))

    def _pass_on(self, endpoint: _EndpointSide, data: bytes) -> None:
        """Pass bytes on, unless they begin a request that may not be sent now.

        The peer closes the connection after a rejection. Until then the rest of the
        request is read, since closing would discard the rejection with it.
        """
        exchange = endpoint.exchange
        begins_request = exchange.is_between_requests
        exchange.read_request(data)
        if begins_request:
            policy = self._listener.policy
            rejection = policy.rejection(endpoint.target, exchange.identifier)
            if rejection is not None:
                self._has_rejected = True
                endpoint.close()
                self.transport.write(encode_frame(rejection))
                return
        endpoint.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the endpoint while the peer does not read."""
        if self._endpoint is not None:
            self._endpoint.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the endpoint again."""
        if self._endpoint is not None:
            self._endpoint.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self._listener.remove(self)
        if self._connecting is not None:
            self._connecting.cancel()
        if self._endpoint is not None:
            self._endpoint.transport.abort()

    async def _connect(self, target: str) -> None:
        policy = self._listener.policy
        if not policy.can_reach(target):
            return self._refuse(RelayStatus.NO_LINKS)
        if not policy.is_endpoint(target):
            return self._refuse(RelayStatus.ENDPOINT_FAILED)
        address, _, port = target.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(
                    lambda: _EndpointSide(self, policy, target), address, int(port)
                )
        except (OSError, TimeoutError, ValueError):
            policy.notify_connect(target, False)
            if policy.can_reach(target):
                return self._refuse(RelayStatus.ENDPOINT_FAILED)
            return self._refuse(RelayStatus.NO_LINKS)
        return policy.notify_connect(target, True)

    def start_relaying(self, endpoint: _EndpointSide) -> None:
        """Tell the peer that it is connected, unless it has left meanwhile."""
        if self.transport.is_closing():
            endpoint.transport.abort()
            return
        self._endpoint = endpoint
        self.transport.write(bytes([RelayStatus.CONNECTED]))

    def _refuse(self, status: RelayStatus) -> None:
        self.transport.write(bytes([status]))
        self.transport.close()


class _EndpointSide(asyncio.Protocol):
    """The connection to the endpoint."""

    def __init__(
        self, peer_connection: _PeerConnection, policy: RelayPolicy, target: str
    ) -> None:
        self._peer_connection = peer_connection
        self._peer = peer_connection.transport
        self._has_ended = False
        self._is_closed = False
        self.target = target
        self.exchange = RelayedExchange(
            lambda head: policy.notify_response_head(target, head),
            policy.find_identifier,
        )
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        set_timeouts(transport.get_extra_info("socket"))
        self._peer_connection.start_relaying(self)

    def close(self) -> None:
        """Close the connection, and leave that to the peer on its own."""
        self._is_closed = True
        self.transport.close()

    def data_received(self, data: bytes) -> None:
        if not self._is_closed:
            self.exchange.feed(data)
            self._peer.write(encode_frame(data))

    def eof_received(self) -> None:
        """Pass the end on, unless it may cut a response that has no end of its own.

        That is if the endpoint has not received the whole request, of which the peer
        sees only how much it has sent to this host.
        """
        may_be_cut = not self.exchange.has_response and has_unsent_bytes(self.transport)
        if not self._is_closed and not may_be_cut:
            self._has_ended = True
            self._peer.write(END_FRAME)

    def pause_writing(self) -> None:
        """Stop reading from the peer while the endpoint does not read."""
        self._peer.pause_reading()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        self._peer.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        if self._is_closed:
            return
        if self._has_ended and error is None:
            self._peer.close()
        else:
            self._peer.abort()
