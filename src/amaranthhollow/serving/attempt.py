"""One attempt at an endpoint: sends the request and reads the head of the answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthhollow.serving.clock import now
from amaranthhollow.serving.endpoint_connection import (
    AnswerEnd,
    BodyPart,
    ConnectionLost,
    LossKind,
)
from amaranthhollow.serving.messages import ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.serving.connection_pool import ConnectionPool, EndpointAddress
    from amaranthhollow.serving.endpoint_connection import EndpointConnection
    from amaranthhollow.serving.messages import Header
    from amaranthhollow.serving.request import CallerRequest, Dispatch, ResponseInfo

__all__ = [
    "Attempt",
    "EndpointCodec",
    "Silent",
    "WholeBody",
    "address_of",
]


# Twice the largest body that today's callers may send (wire page, limits). While it is
# collected, about as much again is held besides, of a host's 200 MB.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True)
class EndpointCodec:
    """How endpoints are spoken to."""

    encode: Callable[[CallerRequest, Dispatch], bytes]
    expected_echo: Callable[[CallerRequest], Header]
    decode: Callable[[ResponseHead], ResponseInfo]


@dataclass(frozen=True)
class Silent:
    """Nothing came within the time that was given."""


@dataclass(frozen=True)
class WholeBody:
    """A complete body."""

    data: bytes


def address_of(endpoint: Endpoint) -> EndpointAddress:
    """Return the key of connections to one incarnation of an endpoint."""
    listed = endpoint.listed
    name = f"{listed.host}@{listed.incarnation}"
    return (name, listed.address, listed.port)


@dataclass
class Attempt:
    """A request on its way at one endpoint; ``close`` ends it in every case."""

    endpoint: Endpoint
    pool: ConnectionPool
    codec: EndpointCodec
    sent_at: float = 0.0
    facts: ResponseInfo | None = None
    _connection: EndpointConnection | None = None
    _is_complete: bool = field(default=False)

    async def send(
        self, request: CallerRequest, dispatch: Dispatch, *, needs_fresh: bool
    ) -> bool:
        """Send the request; False if the endpoint takes no connection."""
        address = address_of(self.endpoint)
        self._connection = await self.pool.acquire(address, needs_fresh=needs_fresh)
        if self._connection is None:
            return False
        self.sent_at = now()
        self._connection.send(
            self.codec.encode(request, dispatch),
            self.codec.expected_echo(request),
            expects_body=request.head.method != b"HEAD",
        )
        return True

    async def read_head(
        self, wait_until: float
    ) -> ResponseInfo | ConnectionLost | Silent:
        """Return what the head of the answer says."""
        event = await self._read(wait_until)
        match event:
            case ResponseHead():
                self.facts = self.codec.decode(event)
                return self.facts
            case ConnectionLost() | Silent():
                return event
            case _:
                raise AssertionError(f"{type(event).__name__} before the head")

    async def read_part(
        self, wait_until: float
    ) -> BodyPart | AnswerEnd | ConnectionLost | Silent:
        """Return the next part of the body, or its end."""
        event = await self._read(wait_until)
        if isinstance(event, AnswerEnd):
            self._is_complete = True
        return event

    async def read_body(self, wait_until: float) -> WholeBody | ConnectionLost | Silent:
        """Return the whole body."""
        body = bytearray()
        while True:
            match await self.read_part(wait_until):
                case BodyPart(data):
                    body += data
                    if len(body) > MAX_ANSWER_BYTES:
                        return ConnectionLost(LossKind.MALFORMED, "body too long")
                case AnswerEnd():
                    return WholeBody(bytes(body))
                case other:
                    return other

    def close(self) -> None:
        """Keep the connection if the answer is complete, else cancel the request."""
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if self._is_complete and self.facts is not None:
            address = address_of(self.endpoint)
            self.pool.release(address, connection, self.facts.idle_timeout_seconds)
        else:
            connection.abort()

    async def _read(
        self, wait_until: float
    ) -> ResponseHead | BodyPart | AnswerEnd | ConnectionLost | Silent:
        try:
            async with asyncio.timeout(max(0.0, wait_until - now())):
                return await self._connection.read()
        except TimeoutError:
            return Silent()
