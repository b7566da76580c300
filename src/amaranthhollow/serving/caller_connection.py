"""One connection of a caller: reads requests and writes their answers in order."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import httptools
import logbook

from amaranthhollow.serving.clock import now
from amaranthhollow.serving.exchange import Exchange
from amaranthhollow.serving.messages import RequestHead, encode_response_head

if TYPE_CHECKING:
    from amaranthhollow.serving.listener import Listener
    from amaranthhollow.serving.messages import Header

__all__ = ["CallerConnection"]

WRITE_BUFFER_BYTES = 65_536
MAX_UNPARSED_BYTES = 262_144
REFUSAL_LINGER_SECONDS = 0.2

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431

log = logbook.Logger("connection")


class CallerConnection(asyncio.Protocol):
    """Parses with httptools; hands on one request at a time, in order."""

    def __init__(self, listener: Listener) -> None:
        """Serve one connection that ``listener`` accepted."""
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._unparsed = bytearray()
        self._waiting: deque[Exchange] = deque()
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._refusal = 0
        self._closes = False
        self._is_reading_message = False
        self._deadline = 0.0
        self._resumed: asyncio.Future[None] | None = None
        self._reset_message()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over an accepted connection."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._listener.connections.add(self)
        self._await_request()

    def connection_lost(self, error: Exception | None) -> None:
        """Give up what was being answered, since nobody reads it."""
        self._listener.connections.discard(self)
        self._waiting.clear()
        self.resume_writing()
        exchange = self._exchange
        if exchange is not None:
            exchange.is_abandoned = True
            if self._task is not None and not exchange.outlives_caller:
                self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse, or keep what follows a request that is being answered."""
        if self._refusal:
            return
        if self._exchange is not None:
            self._unparsed += data
            if len(self._unparsed) > MAX_UNPARSED_BYTES:
                self._transport.pause_reading()
            return
        self._parse(data)

    def pause_writing(self) -> None:
        """Note that the caller reads more slowly than it is sent to."""
        self._resumed = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Note that the caller has read most of what was sent."""
        if self._resumed is not None and not self._resumed.done():
            self._resumed.set_result(None)
        self._resumed = None

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start another request."""
        self._reset_message()
        self._is_reading_message = True
        self._arrived_at = now()
        limits = self._listener.limits
        self._deadline = self._arrived_at + limits.header_timeout_seconds

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Bound the body by time, and let the client send it."""
        limits = self._listener.limits
        self._deadline = now() + limits.idle_timeout_seconds
        self._is_head_complete = True
        if self._parser.get_http_version() == "1.0" or not (
            self._parser.should_keep_alive()
        ):
            self._closes = True
        if any(name == b"expect" for name, _ in self._headers):
            self.write(encode_response_head(100, []))

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body += body
        if len(self._body) > self._listener.limits.max_body_bytes:
            self._refusal = self._refusal or CONTENT_TOO_LARGE

    def on_message_complete(self) -> None:
        """Queue a request that was read whole."""
        head = RequestHead(
            self._parser.get_method(), bytes(self._target), tuple(self._headers)
        )
        exchange = Exchange(self, head, bytes(self._body), self._arrived_at)
        self._is_reading_message = False
        self._reset_message()
        if not self._refusal:
            self._waiting.append(exchange)

    # What the exchange and the listener call.

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return self._exchange is None and not self._is_reading_message

    @property
    def closes_after_answer(self) -> bool:
        """Tell whether the connection ends with the answer under way."""
        return self._closes or self._listener.is_draining

    def write(self, data: bytes) -> None:
        """Send bytes of an answer."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    async def drained(self) -> None:
        """Wait until the write buffer has room."""
        if self._resumed is not None:
            await self._resumed

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def expire(self, instant: float) -> None:
        """Close the connection if its client is idle or takes too long."""
        if self._exchange is not None or instant < self._deadline:
            return
        if self._is_reading_message:
            self._refuse(REQUEST_TIMEOUT)
        else:
            self.close()

    def _parse(self, data: bytes) -> None:
        was_reading_head = self._is_reading_message and not self._is_head_complete
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._closes = True
        except httptools.HttpParserError:
            self._refusal = self._refusal or BAD_REQUEST
        if was_reading_head and self._is_reading_message:
            self._bound_unfinished_head(len(data))
        self._answer_next()

    def _answer_next(self) -> None:
        if self._exchange is not None:
            return
        if self._waiting:
            self._exchange = self._waiting.popleft()
            self._task = asyncio.create_task(self._answer(self._exchange))
        elif self._refusal:
            self._refuse(self._refusal)
        elif self._unparsed:
            data = bytes(self._unparsed)
            self._unparsed.clear()
            self._transport.resume_reading()
            self._parse(data)
        elif not self._is_reading_message:
            self._await_request()

    async def _answer(self, exchange: Exchange) -> None:
        try:
            await self._listener.handle(exchange)
        except asyncio.CancelledError:
            if not exchange.is_abandoned:
                self.abort()
            raise
        except Exception:
            log.exception("handler failed")
        finally:
            self._finish(exchange)

    def _finish(self, exchange: Exchange) -> None:
        self._exchange = None
        self._task = None
        if not exchange.is_finished:
            self.abort()
        elif self.closes_after_answer:
            self.close()
        else:
            self._answer_next()

    def _refuse(self, status: int) -> None:
        """Answer what cannot be read, and close once the client had time to read."""
        self._refusal = status
        self._is_reading_message = False
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        self.write(encode_response_head(status, headers))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(REFUSAL_LINGER_SECONDS, self.close)

    def _bound_unfinished_head(self, count: int) -> None:
        """Count bytes that the parser keeps until the header they belong to ends."""
        if not self._is_head_complete:
            self._unfinished_bytes += count
            if self._unfinished_bytes > self._listener.limits.max_header_bytes:
                self._refusal = self._refusal or HEADERS_TOO_LARGE

    def _await_request(self) -> None:
        self._deadline = now() + self._listener.limits.idle_timeout_seconds

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._unfinished_bytes = 0
        self._is_head_complete = False
        self._body = bytearray()
        self._arrived_at = 0.0

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._listener.limits.max_header_bytes:
            self._refusal = self._refusal or HEADERS_TOO_LARGE
