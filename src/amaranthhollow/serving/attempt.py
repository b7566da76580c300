"""One attempt at an endpoint: sends the request and reads the response."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthhollow.serving.clock import now
from amaranthhollow.serving.endpoint_connection import (
    BodyPart,
    ConnectionLost,
    LossKind,
    ResponseEnd,
)
from amaranthhollow.serving.messages import ResponseHead, find_header

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.serving.connection_pool import (
        ConnectionPool,
        EndpointAddress,
        Reuse,
    )
    from amaranthhollow.serving.endpoint_connection import EndpointConnection
    from amaranthhollow.serving.messages import Header
    from amaranthhollow.serving.request import CallerRequest, Dispatch, ResponseInfo

__all__ = [
    "Attempt",
    "CompleteBody",
    "EndpointCodec",
    "NoRoomForBody",
    "TimedOut",
    "address_of",
]


# Twice the largest body that callers may send. Reading a body of this size takes about
# twice as much memory, out of the 200 MB of a host.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


# Bodies up to this size, which most are, take no time to account for.
UNCOUNTED_BYTES = 16_384
HELD_STEP_BYTES = 65_536


@dataclass(frozen=True)
class EndpointCodec:
    """Encoding of requests to endpoints and decoding of their response heads.

    ``expected_echo`` returns the header that the response to a request repeats.
    """

    encode_request: Callable[[CallerRequest, Dispatch], bytes]
    expected_echo: Callable[[CallerRequest], Header]
    decode_response_head: Callable[[ResponseHead], ResponseInfo]


@dataclass(frozen=True)
class TimedOut:
    """Nothing was received within the time limit."""


@dataclass(frozen=True)
class CompleteBody:
    """A response body that was received completely."""

    data: bytes | bytearray


@dataclass(frozen=True)
class NoRoomForBody:
    """The rest of a body was not read, since there is no room for it."""


async def _has_room(size: int, wait_until: float) -> bool:
    return True


def address_of(endpoint: Endpoint) -> EndpointAddress:
    """Return the key under which connections to an incarnation are pooled."""
    listed = endpoint.listed
    name = f"{listed.host}@{listed.incarnation}"
    return (name, listed.address, listed.port)


@dataclass
class Attempt:
    """A request sent to one endpoint; callers of ``connect`` must call ``close``."""

    endpoint: Endpoint
    pool: ConnectionPool
    codec: EndpointCodec
    sent_at: float = 0.0
    response: ResponseInfo | None = None
    _connection: EndpointConnection | None = None
    _is_complete: bool = field(default=False)

    async def connect(self, reuse: Reuse) -> bool:
        """Return whether there is a connection, which may take long to open."""
        address = address_of(self.endpoint)
        self._connection = await self.pool.acquire(address, reuse)
        return self._connection is not None

    def send(self, request: CallerRequest, dispatch: Dispatch) -> None:
        """Send the request over the connection."""
        self.sent_at = now()
        self._connection.send(
            self.codec.encode_request(request, dispatch),
            self.codec.expected_echo(request),
            expects_body=request.head.method != b"HEAD",
        )

    @property
    def relay(self) -> str | None:
        """The address of the peer that relays the request, if any."""
        return None if self._connection is None else self._connection.relay

    async def read_head(
        self, wait_until: float
    ) -> ResponseInfo | ConnectionLost | TimedOut:
        """Read and decode the head of the response."""
        event = await self._read(wait_until)
        match event:
            case ResponseHead():
                self.response = self.codec.decode_response_head(event)
                return self.response
            case ConnectionLost() | TimedOut():
                return event
            case _:
                raise AssertionError(f"{type(event).__name__} before the response head")

    async def read_body_part(
        self, wait_until: float
    ) -> BodyPart | ResponseEnd | ConnectionLost | TimedOut:
        """Read the next part of the body, or its end."""
        event = await self._read(wait_until)
        if isinstance(event, ResponseEnd):
            self._is_complete = True
        return event

    async def read_body(
        self,
        wait_until: float,
        hold: Callable[[int, float], Awaitable[bool]] = _has_room,
    ) -> CompleteBody | ConnectionLost | NoRoomForBody | TimedOut:
        """Read the complete body; one over ``MAX_RESPONSE_BYTES`` is malformed.

        A large one is read no further while ``hold`` waits for room for it, and is
        given up when it finds none.
        """
        body = bytearray()
        held = UNCOUNTED_BYTES
        while True:
            match await self.read_body_part(wait_until):
                case BodyPart(data):
                    size = len(body) + len(data)
                    if size > MAX_RESPONSE_BYTES:
                        return ConnectionLost(
                            LossKind.MALFORMED, "response body exceeds the size limit"
                        )
                    if size > held:
                        held = max(size + HELD_STEP_BYTES, self._announced_bytes)
                        if not await hold(held, wait_until):
                            return NoRoomForBody()
                    body += data
                case ResponseEnd():
                    return CompleteBody(body)
                case other:
                    return other

    def close(self) -> None:
        """Pool the connection after a complete response, else cancel the request."""
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        if self._is_complete and self.response is not None:
            address = address_of(self.endpoint)
            self.pool.release(address, connection, self.response.idle_timeout_seconds)
        else:
            connection.abort()

    @property
    def _announced_bytes(self) -> int:
        """The length of the body as its head says, else 0.

        Responses that find room step by step could wait for each other.
        """
        headers = () if self.response is None else self.response.head.headers
        length = find_header(headers, b"content-length")
        if length is None or not length.isdigit():
            return 0
        return min(int(length), MAX_RESPONSE_BYTES)

    async def _read(
        self, wait_until: float
    ) -> ResponseHead | BodyPart | ResponseEnd | ConnectionLost | TimedOut:
        try:
            async with asyncio.timeout(max(0.0, wait_until - now())):
                return await self._connection.read()
        except TimeoutError:
            return TimedOut()
