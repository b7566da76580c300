"""Parses the requests of one connection, within the limits and the memory of a host."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import httptools

from amaranthhollow.decisions.memory_budget import (
    MAX_MEDIUM_BYTES,
    MAX_SMALL_BYTES,
    purposes_of_body,
)
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.exchange import Exchange
from amaranthhollow.serving.messages import (
    RequestHead,
    encode_response_head,
    find_header,
)

if TYPE_CHECKING:
    from amaranthhollow.serving.caller_connection import CallerConnection
    from amaranthhollow.serving.listener import Listener
    from amaranthhollow.serving.messages import Header

__all__ = ["BAD_REQUEST", "UNAVAILABLE", "RequestReader"]

BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
UNAVAILABLE = 503

MESSAGE_END = b"\r\n\r\n"
HEAD_SLICE_BYTES = 16_384
# Chunks of one byte cost six bytes and a callback each.
CHUNKED_SLICE_BYTES = 4_096
# About 0.2 ms of work. Beyond it, other connections have their turn first.
MAX_CALLBACKS_PER_TURN = 512
# A slice ends where a head or a chunked body may end, so that it holds the end of one
# request, unless the parser accepts line ends that HTTP does not allow.
MAX_QUEUED = 16
LARGE_GRANT_BYTES = 65_536
# Chunks of one byte take five times as much for their framing.
MAX_FRAMING_RATIO = 16


class RequestReader:
    """Parses one request after the other, and stops at the end of each.

    ``error_status`` is the response to a request that can't be read; nothing after it
    is read. ``body_left`` is what is missing of a body of known length. ``deadline`` is
    that of the part of the request that is being read.
    """

    def __init__(self, connection: CallerConnection, listener: Listener) -> None:
        """Read requests of ``connection`` by the limits of ``listener``."""
        self._connection = connection
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self.queued: deque[Exchange] = deque()
        self.error_status = 0
        self.must_close = False
        self.is_reading_message = False
        self.deadline = 0.0
        self._callbacks = 0
        self._unfed_bytes = 0
        self._reset_message()

    @property
    def is_reading_body(self) -> bool:
        """Whether the head of a request is complete, but not its body."""
        return self.is_reading_message and self._is_head_complete

    def feed(self, buffer: bytearray, end: int) -> int:
        """Parse the first ``end`` bytes, and return how many have been parsed.

        Those after the end of a request, and beyond the work of one turn, are left.
        """
        self._callbacks = 0
        position = 0
        while (
            position < end
            and not self.queued
            and not self.error_status
            and self._callbacks < MAX_CALLBACKS_PER_TURN
        ):
            size = self._next_size(buffer, position, end)
            self._unfed_bytes = end - position - size
            self._feed_slice(buffer, position, position + size)
            position += size
        return position

    def refuse(self, status: int) -> None:
        """Read nothing more, and give up what has been read of a request."""
        if not self.error_status:
            self.error_status = status
            self._listener.refused_by_status[status] += 1
            self._release_body()

    def discard(self) -> None:
        """Give up all that has been read and is not handled yet."""
        while self.queued:
            self._listener.memory.release(self.queued.popleft().memory_holder)
        self._release_body()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a request and the timeout of its head."""
        self._reset_message()
        self._listener.mark_busy(self._connection)
        self.is_reading_message = True
        self._arrived_at = now()
        limits = self._listener.limits
        self.deadline = self._arrived_at + limits.header_timeout_seconds

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Start the timeout of the body, and refuse one for which there is no room."""
        limits = self._listener.limits
        self.deadline = now() + limits.idle_timeout_seconds
        self._is_head_complete = True
        if self._parser.get_http_version() == "1.0" or not (
            self._parser.should_keep_alive()
        ):
            self.must_close = True
        length = find_header(self._headers, b"content-length")
        if length is not None and length.isdigit():
            self.body_left = self._announced = int(length)
            if (
                0
                < self._announced
                <= min(self._unfed_bytes, MAX_SMALL_BYTES, limits.max_body_bytes)
            ):
                # Read with its head, so that it does not wait for its caller. Requests
                # in progress are counted, and hold 16 kB each at most in this way.
                self._granted_bytes = self._announced
            elif self._announced:
                self._grow_body(0)
        if self.error_status == 0 and any(n == b"expect" for n, _ in self._headers):
            self._connection.write(encode_response_head(100, []))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._callbacks += 1
        if self.error_status:
            return
        size = self._body_bytes = self._body_bytes + len(body)
        if size > self._granted_bytes and not self._grow_body(size):
            return
        if not self._body:
            self._body = body
            return
        if not isinstance(self._body, bytearray):
            self._body = bytearray(self._body)
        self._body += body

    def on_message_complete(self) -> None:
        """Queue a completely received request."""
        self.is_reading_message = False
        if self.error_status:
            return
        if len(self.queued) >= MAX_QUEUED:
            self.refuse(UNAVAILABLE)
            return
        head = RequestHead(
            self._parser.get_method(), bytes(self._target), tuple(self._headers)
        )
        exchange = Exchange(
            self._connection, head, self._body, self._arrived_at, self._holder
        )
        self._listener.memory.pin(self._holder)
        self._reset_message()
        self.queued.append(exchange)

    def _next_size(self, buffer: bytearray, start: int, end: int) -> int:
        """Return how much to parse next, at most to the end of a head or a body.

        Heads and chunked bodies, with trailers or without, end with an empty line.
        """
        if self.body_left:
            return min(self.body_left, end - start)
        limit = CHUNKED_SLICE_BYTES if self.is_reading_body else HEAD_SLICE_BYTES
        end = min(end, start + limit)
        if self._tail:
            joint = self._tail + bytes(buffer[start : min(start + 3, end)])
            found = joint.find(MESSAGE_END)
            if found >= 0:
                return found + len(MESSAGE_END) - len(self._tail)
        found = buffer.find(MESSAGE_END, start, end)
        if found >= 0:
            return found + len(MESSAGE_END) - start
        return end - start

    def _feed_slice(self, buffer: bytearray, start: int, end: int) -> None:
        was_reading_body = self.is_reading_body
        earlier_bytes = self._body_bytes
        if self.body_left:
            self.body_left -= end - start
        try:
            with memoryview(buffer) as view:
                self._parser.feed_data(view[start:end])
        except httptools.HttpParserUpgrade:
            self.must_close = True
        except httptools.HttpParserError:
            self.refuse(BAD_REQUEST)
        if not self.is_reading_message:
            return
        if not self._is_head_complete:
            self._tail = (self._tail + bytes(buffer[max(start, end - 3) : end]))[-3:]
            self._count_unfinished(end - start)
        elif was_reading_body and self._announced is None:
            # Empty lines in the data make slices of four bytes.
            self._callbacks += 1
            self._tail = (self._tail + bytes(buffer[max(start, end - 3) : end]))[-3:]
            self._framing_bytes += end - start - (self._body_bytes - earlier_bytes)
            self._check_framing()

    def _grow_body(self, size: int) -> bool:
        """Return whether there is room for ``size`` bytes and some more of the body."""
        memory = self._listener.memory
        # One that never finds room is not told to try again.
        limit = min(self._listener.limits.max_body_bytes, memory.largest_body_bytes)
        if max(size, self._announced or 0) > limit:
            self.refuse(CONTENT_TOO_LARGE)
            return False
        ceiling = limit if self._announced is None else self._announced
        ceiling = limit if self._announced is None else self._announced
        granted = min(_granted_bytes(size), ceiling)
        purposes = purposes_of_body(max(size, self._announced or 0))
        for purpose in purposes:
            holder = memory.try_hold(
                self._holder,
                purpose,
                granted,
                self._connection.peer_address,
                self._connection.make_room,
            )
            if holder is not None:
                self._holder = holder
                self._granted_bytes = granted
                return True
        memory.count_refused(purposes[0])
        self.refuse(UNAVAILABLE)
        return False

    def _release_body(self) -> None:
        self._listener.memory.release(self._holder)
        self._holder = None
        self._body = b""

    def _count_unfinished(self, count: int) -> None:
        """Limit the bytes of an incomplete head, which the parser may buffer."""
        self._unfinished_bytes += count
        if self._unfinished_bytes > self._listener.limits.max_header_bytes:
            self.refuse(HEADERS_TOO_LARGE)

    def _check_framing(self) -> None:
        """Limit chunk extensions and trailers, which the parser may buffer."""
        allowed = self._listener.limits.max_header_bytes
        if self._framing_bytes > allowed + MAX_FRAMING_RATIO * self._body_bytes:
            self.refuse(BAD_REQUEST)

    def _count_head(self, count: int) -> None:
        self._callbacks += 1
        self._head_bytes += count
        if self._head_bytes > self._listener.limits.max_header_bytes:
            self.refuse(HEADERS_TOO_LARGE)

    def _reset_message(self) -> None:
        self._target = bytearray()
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._tail = b""
        self._unfinished_bytes = 0
        self._framing_bytes = 0
        self._is_head_complete = False
        self._announced: int | None = None
        self.body_left = 0
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._granted_bytes = 0
        self._holder: int | None = None
        self._arrived_at = 0.0


def _granted_bytes(size: int) -> int:
    """Return how much to hold for a body that has ``size`` bytes so far.

    It stays within the purpose of such a body, which is chosen again beyond it.
    """
    if size <= MAX_SMALL_BYTES:
        return MAX_SMALL_BYTES
    if size <= MAX_MEDIUM_BYTES:
        return min(size + MAX_SMALL_BYTES, MAX_MEDIUM_BYTES)
    return size + LARGE_GRANT_BYTES
