"""HTTP/1.1 connection of a caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.memory_budget import STILL_SECONDS, Purpose
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.messages import encode_response_head
from amaranthhollow.serving.request_reader import UNAVAILABLE, RequestReader
from amaranthhollow.serving.send_queue import unacknowledged_bytes

if TYPE_CHECKING:
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.listener import Listener

__all__ = ["CallerConnection"]

WRITE_BUFFER_BYTES = 65_536
# What one read takes of a body of known length, and of all else.
READ_BYTES = 262_144
MAX_UNPARSED_BYTES = 16_384
ERROR_LINGER_SECONDS = 0.2

REQUEST_TIMEOUT = 408
INTERNAL_SERVER_ERROR = 500
# Short, since the retry reaches another host.
DRAINING_RETRY_SECONDS = 0.1
# By then, a body that has stopped makes room.
NO_ROOM_RETRY_SECONDS = STILL_SECONDS

# All connections read into it, one after the other, since each consumes or copies what
# it has read before the event loop reads from the next one.
_read_buffer = bytearray(READ_BYTES)
_read_view = memoryview(_read_buffer)

log = logbook.Logger("connection")


class CallerConnection(asyncio.BufferedProtocol):
    """Reads pipelined requests and has them handled one at a time, in order."""

    def __init__(self, listener: Listener) -> None:
        """Serve a connection that ``listener`` accepted."""
        self._listener = listener
        self._reader = RequestReader(self, listener)
        self._transport: asyncio.Transport | None = None
        self.peer_address = ""
        self._unparsed = bytearray()
        self._is_parse_scheduled = False
        self._exchange: Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._has_responded_error = False
        self._is_lost = False
        self._idle_deadline = 0.0
        self._response_holder: int | None = None
        self._writable: asyncio.Future[None] | None = None
        self._written_bytes = 0
        # At the last check of the timeout, or None while all has been sent.
        self._acknowledged_bytes: int | None = None
        self._unsent_deadline = 0.0

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its idle timeout."""
        self._transport = transport
        self.peer_address = (transport.get_extra_info("peername") or ("",))[0]
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._listener.add(self)
        self._start_idle_timeout()

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon the request in progress.

        Its task is cancelled unless the exchange continues after a disconnect.
        """
        self._is_lost = True
        self._listener.remove(self)
        self._reader.discard()
        self._unparsed.clear()
        self.resume_writing()
        exchange = self._exchange
        if exchange is None:
            self._release_response()
        else:
            exchange.is_abandoned = True
            if self._task is not None and not exchange.continues_after_disconnect:
                self._task.cancel()

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return where to read to: little while it can't be parsed at once."""
        if self._is_busy:
            return _read_view[: max(1, MAX_UNPARSED_BYTES - len(self._unparsed))]
        return _read_view[: max(MAX_UNPARSED_BYTES, self._reader.body_left)]

    def buffer_updated(self, count: int) -> None:
        """Parse what was read, or keep it while a request is being handled."""
        if self._reader.error_status:
            return
        if self._is_busy:
            self._unparsed += _read_view[:count]
            if len(self._unparsed) >= MAX_UNPARSED_BYTES:
                self._transport.pause_reading()
            return
        parsed = self._reader.feed(_read_buffer, count)
        if parsed < count:
            self._unparsed += _read_view[parsed:count]
            self._transport.pause_reading()
        self._continue()

    def pause_writing(self) -> None:
        """Make :meth:`drain` wait, since the write buffer is full."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """End the wait of :meth:`drain`, since the write buffer has room."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        if self._exchange is None and not self._is_lost:
            self._release_response()
            self._start_next()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or handled."""
        return self._exchange is None and not self._reader.is_reading_message

    @property
    def is_sending(self) -> bool:
        """Whether bytes of a response wait for the caller to read."""
        return self.unsent_bytes > 0

    @property
    def unsent_bytes(self) -> int:
        """How much of the responses waits for the caller to read."""
        return self._transport.get_write_buffer_size()

    @property
    def unparsed_bytes(self) -> int:
        """How much the caller has sent that waits to be parsed."""
        return len(self._unparsed)

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after the current response."""
        return self._reader.must_close or self._listener.is_draining

    @property
    def _is_busy(self) -> bool:
        """Whether what is read has to wait, since it comes after something else."""
        return (
            self._exchange is not None
            or self._writable is not None
            or bool(self._unparsed)
        )

    def write(self, data: bytes) -> None:
        """Send bytes of a response."""
        if self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(data)
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer has room."""
        if self._writable is not None:
            await self._writable

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection after sending the buffered data."""
        if self._transport is not None:
            self._transport.close()

    def enforce_timeout(self, instant: float) -> None:
        """Close an idle connection, or respond 408 to a slow request, on timeout."""
        if self.is_sending:
            self._enforce_reading(instant)
            return
        self._acknowledged_bytes = None
        if self._exchange is not None or self._unparsed:
            return
        if self._reader.is_reading_message:
            if instant >= self._reader.deadline:
                self._respond_with_error(REQUEST_TIMEOUT)
        elif instant >= self._idle_deadline:
            self.close()

    def _enforce_reading(self, instant: float) -> None:
        """Reset a connection whose caller has read nothing for the idle timeout.

        What the kernel takes moves in steps of a third of its send buffer, 1.3 MB on
        loopback, 26 s of a caller that reads 50 kB/s. Acknowledged bytes move in steps
        of the caller's receive buffer, 2.6 s at 50 kB/s.
        """
        unsent = self.unsent_bytes
        acknowledged = (
            self._written_bytes - unsent - unacknowledged_bytes(self._transport)
        )
        if self._acknowledged_bytes is None or acknowledged > self._acknowledged_bytes:
            if self._response_holder is not None and self._exchange is None:
                self._hold_response(unsent)
            timeout = self._listener.limits.idle_timeout_seconds
            self._unsent_deadline = instant + timeout
        self._acknowledged_bytes = acknowledged
        if instant >= self._unsent_deadline:
            self.abort_slow_reader()

    def abort_slow_reader(self) -> None:
        """Reset a connection whose caller does not read its response."""
        self._listener.slow_reader_count += 1
        self.abort()

    def reject_unread(self) -> None:
        """Reject a request that is being read, which has not run."""
        if self._reader.is_reading_message:
            self.make_room()

    def make_room(self) -> None:
        """Reject a request that is being read, after those before it are handled."""
        self._reader.refuse(UNAVAILABLE)
        self._unparsed.clear()
        self._start_next()

    async def hold_response(self, size: int, wait_until: float) -> bool:
        """Wait for room for a response of ``size`` bytes; return False without it."""
        if self._try_hold_response(size):
            return True
        memory = self._listener.memory
        return await memory.wait_for_room(
            Purpose.RESPONSES, lambda: self._try_hold_response(size), wait_until
        )

    def _try_hold_response(self, size: int) -> bool:
        """Return whether there is room for a response of ``size`` bytes.

        It may have to make room while it waits for a caller that does not read.
        """
        if not self._hold_response(size):
            return False
        self._listener.memory.pin(self._response_holder)
        return True

    def _hold_response(self, size: int) -> bool:
        """Hold so much for a response, and record that it moves."""
        holder = self._listener.memory.try_hold(
            self._response_holder,
            Purpose.RESPONSES,
            size,
            self.peer_address,
            self.abort_slow_reader,
        )
        if holder is not None:
            self._response_holder = holder
        return holder is not None

    def _release_response(self) -> None:
        self._listener.memory.release(self._response_holder)
        self._response_holder = None

    def _parse_unparsed(self) -> None:
        """Parse what was left of an earlier turn."""
        self._is_parse_scheduled = False
        if self._is_lost or self._exchange is not None or self._reader.error_status:
            return
        data = self._unparsed
        del data[: self._reader.feed(data, len(data))]
        if not data:
            self._transport.resume_reading()
        self._continue()

    def _continue(self) -> None:
        reader = self._reader
        if reader.is_reading_body and self._listener.rejects_new_requests:
            reader.refuse(UNAVAILABLE)
        self._start_next()

    def _start_next(self) -> None:
        """Handle the next request, once the caller reads the last response."""
        if (
            self._exchange is not None
            or self._writable is not None
            or self._transport.is_closing()
        ):
            return
        reader = self._reader
        if reader.queued:
            exchange = self._exchange = reader.queued.popleft()
            self._task = asyncio.create_task(self._handle(exchange))
            # A task that is cancelled before its first step runs no ``finally``.
            self._task.add_done_callback(lambda _: self._finish_exchange(exchange))
        elif reader.error_status:
            self._respond_with_error(reader.error_status)
        elif self._unparsed:
            if not self._is_parse_scheduled:
                self._is_parse_scheduled = True
                asyncio.get_running_loop().call_soon(self._parse_unparsed)
        elif not reader.is_reading_message:
            self._start_idle_timeout()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._listener.handle(exchange)
        except asyncio.CancelledError:
            if not exchange.is_abandoned:
                self.abort()
            raise
        except Exception:
            log.exception("request handler raised an exception")
            if not exchange.has_started:
                exchange.respond(INTERNAL_SERVER_ERROR, [], b"")

    def _finish_exchange(self, exchange: Exchange) -> None:
        self._exchange = None
        self._task = None
        memory = self._listener.memory
        memory.release(exchange.memory_holder)
        if self._writable is None or self._is_lost:
            self._release_response()
        else:
            memory.unpin(self._response_holder)
        if not exchange.is_finished:
            self.abort()
        elif self.closes_after_response:
            self.close()
        elif not self._is_lost:
            self._start_next()

    def _respond_with_error(self, status: int) -> None:
        """Send an error response without a body and close the connection.

        The close is delayed so that the caller can read the response.
        """
        if self._has_responded_error or self._is_lost:
            return
        self._has_responded_error = True
        reader = self._reader
        reader.refuse(status)
        reader.is_reading_message = False
        self._unparsed.clear()
        self._transport.resume_reading()
        headers = [(b"content-length", b"0"), (b"connection", b"close")]
        if status == UNAVAILABLE:
            is_draining = self._listener.is_draining
            seconds = DRAINING_RETRY_SECONDS if is_draining else NO_ROOM_RETRY_SECONDS
            headers.append((b"retry-after", b"%.2f" % seconds))
        self.write(encode_response_head(status, headers))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(ERROR_LINGER_SECONDS, self.close)

    def _start_idle_timeout(self) -> None:
        self._listener.mark_idle(self)
        self._idle_deadline = now() + self._listener.limits.idle_timeout_seconds
