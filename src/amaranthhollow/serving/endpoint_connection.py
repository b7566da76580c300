"""One connection to an endpoint: sends a request, reads its answer."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from enum import Enum

import httptools

from amaranthhollow.serving.clock import now
from amaranthhollow.serving.messages import Header, ResponseHead, find_header

__all__ = [
    "AnswerEnd",
    "BodyPart",
    "ConnectionLost",
    "EndpointConnection",
    "LossKind",
    "connect",
]

# Bytes unacknowledged for this long end the connection (Linux tcp(7)): twice the
# retransmission time-out of a link within a region.
USER_TIMEOUT_MS = 1_500
KEEP_ALIVE_IDLE_SECONDS = 3
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
MAX_QUEUED_BYTES = 262_144
# Four times what callers may send (wire page, limits).
MAX_HEAD_BYTES = 65_536


class LossKind(Enum):
    """How a connection ended before the answer was complete."""

    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"


@dataclass(frozen=True)
class BodyPart:
    """A part of an answer's body."""

    data: bytes


@dataclass(frozen=True)
class AnswerEnd:
    """The answer is complete."""


@dataclass(frozen=True)
class ConnectionLost:
    """The connection ended before the answer was complete."""

    kind: LossKind
    detail: str


AnswerEvent = ResponseHead | BodyPart | AnswerEnd | ConnectionLost


class EndpointConnection(asyncio.Protocol):
    """Carries one request at a time.

    Events of the answer are read with :meth:`read`. An answer that does not echo
    the identifier of the request belongs to an earlier one and is dropped.
    """

    def __init__(self) -> None:
        """Start unconnected; :func:`connect` makes the connection."""
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._events: deque[AnswerEvent] = deque()
        self._queued_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._echo: Header | None = None
        self._expects_body = True
        self._is_answering = False
        self._is_spoiled = False
        self._skips_message = False
        self._ends_with_connection = False
        self._got_eof = False
        self._lost: ConnectionLost | None = None
        self._headers: list[Header] = []
        self._is_in_head = False
        self._head_bytes = 0
        self.used_at = now()
        self.kept_until = 0.0

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the new connection."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what the endpoint sent."""
        if not self._is_answering:
            self._spoil("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._spoil("unexpected upgrade")
        except httptools.HttpParserError as error:
            self._spoil(str(error))
        if self._is_in_head and self._is_answering:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._spoil("the head is too long")
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Note that the endpoint closed, which ends an answer without a length."""
        self._got_eof = True

    def connection_lost(self, error: Exception | None) -> None:
        """End the answer under way, as complete only if that is how it ends."""
        was_closed = self._got_eof and error is None
        if self._lost is None:
            kind = LossKind.CLOSED if was_closed else LossKind.RESET
            self._lost = ConnectionLost(kind, str(error or "closed"))
        if self._is_answering:
            if was_closed and self._ends_with_connection:
                self._end_answer()
            else:
                self._events.append(self._lost)
                self._is_answering = False
        self._wake()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start another answer; one that nobody waits for spoils the connection."""
        self._headers = []
        self._is_in_head = True
        self._head_bytes = 0
        if not self._is_answering:
            self._is_spoiled = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand on the head of the answer that is waited for."""
        self._is_in_head = False
        self._skips_message = not self._is_answering or not self._is_expected()
        status = self._parser.get_status_code()
        headers = tuple(self._headers)
        self._ends_with_connection = (
            find_header(headers, b"content-length") is None
            and b"chunked" not in (find_header(headers, b"transfer-encoding") or b"")
            and status >= 200
            and status not in (204, 304)
        )
        if self._skips_message:
            self._is_spoiled = True
            self._ends_with_connection = False
            return
        keeps_alive = self._parser.should_keep_alive()
        self._is_spoiled = self._is_spoiled or not keeps_alive
        head = ResponseHead(status, headers, keeps_alive, self._ends_with_connection)
        if status >= 200:
            self._events.append(head)
            if not self._expects_body:
                self._is_spoiled = True
                self._end_answer()

    def on_body(self, body: bytes) -> None:
        """Hand on a part of the body."""
        if not self._skips_message:
            self._events.append(BodyPart(body))
            self._queued_bytes += len(body)

    def on_message_complete(self) -> None:
        """End the answer, unless it was another request's or informational."""
        if self._skips_message or self._parser.get_status_code() < 200:
            return
        self._end_answer()

    # What the attempt calls.

    @property
    def is_reusable(self) -> bool:
        """Tell whether another request may be sent."""
        return (
            not self._is_spoiled
            and not self._is_answering
            and self._lost is None
            and not self._got_eof
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )

    def send(
        self, data: bytes, echo: Header | None = None, *, expects_body: bool = True
    ) -> None:
        """Send an encoded request; ``echo`` is the header that its answer repeats."""
        self._events.clear()
        self._queued_bytes = 0
        self._echo = echo
        self._expects_body = expects_body
        self._is_answering = True
        self._ends_with_connection = False
        self._skips_message = False
        self._transport.write(data)

    async def read(self) -> AnswerEvent:
        """Return the next event of the answer."""
        while not self._events:
            if self._lost is not None:
                return self._lost
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, BodyPart):
            self._queued_bytes -= len(event.data)
            if self._queued_bytes <= MAX_QUEUED_BYTES // 2:
                self._transport.resume_reading()
        return event

    def abort(self) -> None:
        """Reset the connection, which cancels the request at the endpoint."""
        self._is_spoiled = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close a connection that carries no request."""
        if self._transport is not None:
            self._transport.close()

    def _is_expected(self) -> bool:
        if self._echo is None:
            return True
        name, value = self._echo
        echoed = find_header(self._headers, name)
        # An answer without the header is the endpoint's refusal to read.
        return echoed is None or echoed == value

    def _end_answer(self) -> None:
        self._events.append(AnswerEnd())
        self._is_answering = False
        self.used_at = now()

    def _spoil(self, detail: str) -> None:
        self._is_spoiled = True
        if self._lost is None:
            self._lost = ConnectionLost(LossKind.MALFORMED, detail)
        if self._is_answering:
            self._events.append(self._lost)
            self._is_answering = False
        self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(
    address: str, port: int, timeout_seconds: float
) -> EndpointConnection | None:
    """Connect to an endpoint; None if it does not take the connection in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_seconds):
            transport, connection = await loop.create_connection(
                EndpointConnection, address, port
            )
    except (OSError, TimeoutError):
        return None
    _set_timeouts(transport.get_extra_info("socket"))
    return connection


def _set_timeouts(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
