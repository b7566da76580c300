"""One request of a caller and its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.serving.messages import (
    LAST_CHUNK,
    encode_chunk,
    encode_response_head,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.serving.caller_connection import CallerConnection
    from amaranthhollow.serving.messages import Header, RequestHead

__all__ = ["Exchange"]

# A larger body is written on its own rather than copied, at the cost of a system call.
MAX_JOINED_BYTES = 65_536


class Exchange:
    """A completely received request, and its response, sent at once or in chunks.

    ``arrived_at`` is the time at which its first byte was read, in seconds of the
    clock in :mod:`amaranthhollow.serving.clock`.
    """

    def __init__(
        self,
        connection: CallerConnection,
        head: RequestHead,
        body: bytes | bytearray,
        arrived_at: float,
        memory_holder: int | None = None,
    ) -> None:
        """Create the exchange of a request that ``connection`` received.

        ``memory_holder`` holds the memory of its body.
        """
        self._connection = connection
        self.head = head
        self.body = body
        self.arrived_at = arrived_at
        self.memory_holder = memory_holder
        self.is_abandoned = False
        self.continues_after_disconnect = False
        self.status = 0
        self.is_finished = False

    @property
    def peer_address(self) -> str:
        """The IP address that the request came from."""
        return self._connection.peer_address

    @property
    def has_started(self) -> bool:
        """Whether a part of the response was sent."""
        return self.status != 0

    async def hold_response(self, size: int, wait_until: float) -> bool:
        """Wait for room for a response of ``size`` bytes; return False without it."""
        return await self._connection.hold_response(size, wait_until)

    def respond(
        self, status: int, headers: Iterable[Header], body: bytes | bytearray
    ) -> None:
        """Send a complete response.

        Raises RuntimeError if a response was started, which can only be finished or
        aborted.
        """
        if self.has_started:
            raise RuntimeError(
                f"response {self.status} was started; cannot send {status}"
            )
        length = (b"content-length", b"%d" % len(body))
        head = self._encode_head(status, [*headers, length])
        if self._is_head_request:
            self._connection.write(head)
        elif len(body) <= MAX_JOINED_BYTES:
            self._connection.write(head + body)
        else:
            self._connection.write(head)
            self._connection.write(body)
        self.is_finished = True

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Start a chunked response."""
        chunked = (b"transfer-encoding", b"chunked")
        self._connection.write(self._encode_head(status, [*headers, chunked]))

    def send(self, data: bytes) -> None:
        """Send a part of the body of a started response."""
        if data:
            self._connection.write(encode_chunk(data))

    def finish(self) -> None:
        """Complete a started response."""
        self._connection.write(LAST_CHUNK)
        self.is_finished = True

    def abort(self) -> None:
        """Reset the connection, so that a partial response cannot look complete."""
        self._connection.abort()

    async def drain(self) -> None:
        """Wait until the write buffer of the connection has room."""
        await self._connection.drain()

    @property
    def _is_head_request(self) -> bool:
        return self.head.method == b"HEAD"

    def _encode_head(self, status: int, headers: list[Header]) -> bytes:
        self.status = status
        if self._connection.closes_after_response:
            headers.append((b"connection", b"close"))
        return encode_response_head(status, headers)
