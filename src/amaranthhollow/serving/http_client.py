"""HTTP client for the platform's services and other daemons."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from amaranthhollow.serving.endpoint_connection import (
    BodyPart,
    ConnectionLost,
    ResponseEnd,
    connect,
)
from amaranthhollow.serving.messages import (
    RequestHead,
    ResponseHead,
    encode_request_head,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pydantic import AnyHttpUrl

    from amaranthhollow.serving.endpoint_connection import EndpointConnection
    from amaranthhollow.serving.messages import Header

__all__ = ["Call", "CallResponse", "CallError", "CallFailure", "HttpClient"]

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_CONNECTIONS = 2
# Several times the largest value of the store, or page of its values.
MAX_BODY_BYTES = 8 << 20


class CallFailure(Enum):
    """Whether a failed call may have had an effect."""

    NOTHING_CHANGED = "nothing changed"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True)
class CallError:
    """A call without a complete response."""

    failure: CallFailure
    detail: str


@dataclass(frozen=True)
class Call:
    """A request to the server of an :class:`HttpClient`.

    Once the head of the response has arrived, its body may take ``body_seconds``,
    though the time for the call is over.
    """

    method: bytes
    target: bytes
    body: bytes = b""
    headers: tuple[Header, ...] = ()
    body_seconds: float = 0.0


@dataclass(frozen=True)
class CallResponse:
    """A complete response."""

    status: int
    body: bytes
    headers: tuple[Header, ...] = ()


class HttpClient:
    """Calls one server over up to ``MAX_IDLE_CONNECTIONS`` kept connections."""

    def __init__(self, address: str, port: int) -> None:
        """Call the server at the IP address ``address``."""
        self._address = address
        self._port = port
        self._idle: list[EndpointConnection] = []

    @classmethod
    def from_url(cls, url: AnyHttpUrl) -> HttpClient:
        """Create a client for ``url``, whose host is an IP address."""
        return cls(url.host, url.port)

    async def call(
        self, call: Call, timeout_seconds: float
    ) -> Result[CallResponse, CallError]:
        """Send ``call`` and return its complete response."""
        connection: EndpointConnection | None = None
        try:
            async with asyncio.timeout(timeout_seconds) as timeout:
                connection = await self._acquire()
                if connection is None:
                    error = CallError(CallFailure.NOTHING_CHANGED, "cannot connect")
                    return Err(error)
                connection.send(self._encode(call))
                result = await _read_response(
                    connection, lambda: _extend(timeout, call.body_seconds)
                )
        except TimeoutError:
            self._discard(connection)
            return Err(CallError(CallFailure.UNCERTAIN, "timed out"))
        except asyncio.CancelledError:
            self._discard(connection)
            raise
        self._release(connection)
        return result

    async def _acquire(self) -> EndpointConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return await connect(self._address, self._port, CONNECT_TIMEOUT_SECONDS)

    def _encode(self, call: Call) -> bytes:
        host = f"{self._address}:{self._port}".encode()
        headers: list[Header] = [(b"host", host), *call.headers]
        if call.body or call.method != b"GET":
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(call.body)))
        head = RequestHead(call.method, call.target, tuple(headers))
        return encode_request_head(head) + call.body

    def _release(self, connection: EndpointConnection) -> None:
        if connection.is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def _discard(self, connection: EndpointConnection | None) -> None:
        """Reset the connection of a failed call; close idle ones, as they may hang."""
        if connection is not None:
            connection.abort()
        while self._idle:
            self._idle.pop().close()


def _extend(timeout: asyncio.Timeout, seconds: float) -> None:
    """Let a call go on for that long from now, if its time would be over before."""
    deadline = asyncio.get_running_loop().time() + seconds
    timeout.reschedule(max(timeout.when(), deadline))


async def _read_response(
    connection: EndpointConnection, notify_head: Callable[[], None]
) -> Result[CallResponse, CallError]:
    status = 0
    headers: tuple[Header, ...] = ()
    body = bytearray()
    while True:
        match await connection.read():
            case ResponseHead() as head:
                status, headers = head.status, head.headers
                notify_head()
            case BodyPart(data):
                body += data
                if len(body) > MAX_BODY_BYTES:
                    connection.abort()
                    detail = "response body exceeds the size limit"
                    return Err(CallError(CallFailure.UNCERTAIN, detail))
            case ResponseEnd():
                return Ok(CallResponse(status, bytes(body), headers))
            case ConnectionLost() as loss:
                return Err(CallError(CallFailure.UNCERTAIN, loss.detail))
