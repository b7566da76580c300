"""One request of a caller and the answer to it."""

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


class Exchange:
    """A request that was read whole, and its answer, whole or in chunks.

    ``arrived_at`` is the instant at which its first byte was read, in seconds of
    the clock in :mod:`amaranthhollow.serving.clock`.
    """

    def __init__(
        self,
        connection: CallerConnection,
        head: RequestHead,
        body: bytes,
        arrived_at: float,
    ) -> None:
        """Wrap a request that ``connection`` has read."""
        self._connection = connection
        self.head = head
        self.body = body
        self.arrived_at = arrived_at
        self.is_abandoned = False
        self.outlives_caller = False
        self.status = 0
        self.is_finished = False

    @property
    def has_started(self) -> bool:
        """Tell whether a part of the answer was sent."""
        return self.status != 0

    def respond(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a whole answer; one that has begun can only be ended or broken off."""
        if self.has_started:
            raise RuntimeError(f"answer {self.status} has begun, not sending {status}")
        length = (b"content-length", b"%d" % len(body))
        head = self._encode_head(status, [*headers, length])
        self._connection.write(head if self._is_head else head + body)
        self.is_finished = True

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Start an answer in chunks."""
        chunked = (b"transfer-encoding", b"chunked")
        self._connection.write(self._encode_head(status, [*headers, chunked]))

    def send(self, data: bytes) -> None:
        """Send a part of a started answer."""
        if data:
            self._connection.write(encode_chunk(data))

    def finish(self) -> None:
        """End a started answer as complete."""
        self._connection.write(LAST_CHUNK)
        self.is_finished = True

    def abort(self) -> None:
        """Break off, so that what was sent cannot look complete."""
        self._connection.abort()

    async def drained(self) -> None:
        """Wait until the caller has read most of what was sent."""
        await self._connection.drained()

    @property
    def _is_head(self) -> bool:
        return self.head.method == b"HEAD"

    def _encode_head(self, status: int, headers: list[Header]) -> bytes:
        self.status = status
        if self._connection.closes_after_answer:
            headers.append((b"connection", b"close"))
        return encode_response_head(status, headers)
