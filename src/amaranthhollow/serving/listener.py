"""HTTP server socket and the connections that it accepted."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from amaranthhollow.decisions.site import RequestLimits
from amaranthhollow.serving.acceptor import Acceptor
from amaranthhollow.serving.caller_connection import CallerConnection
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.held_memory import HeldMemory

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from amaranthhollow.serving.exchange import Exchange

__all__ = ["Listener"]

TIMEOUT_CHECK_SECONDS = 0.25
DEFAULT_MAX_CONNECTIONS = 256


class Listener:
    """Accepts connections at one address and calls a handler for each request.

    Example::

        listener = Listener(handle, "127.0.0.1", 8080)
        await listener.start()
    """

    def __init__(
        self,
        handle: Callable[[Exchange], Awaitable[None]],
        address: str,
        port: int,
        limits: Callable[[], RequestLimits] = RequestLimits,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        memory: HeldMemory | None = None,
    ) -> None:
        """Listen at ``address`` once :meth:`start` is called.

        ``limits`` returns the current limits on requests. Beyond ``max_connections``
        each new connection takes the place of the one that was idle for longest, and
        is closed at once while none is idle. ``memory`` is that of the host.
        """
        self.handle = handle
        self._limits = limits
        self.is_draining = False
        self.rejects_new_requests = False
        self.connections: set[CallerConnection] = set()
        self.evicted_count = 0
        self.slow_reader_count = 0
        self.refused_by_status: Counter[int] = Counter()
        self.memory = memory or HeldMemory()
        # In the order in which they became idle.
        self._idle: dict[CallerConnection, None] = {}
        self._acceptor = Acceptor(
            lambda: CallerConnection(self),
            address,
            port,
            max_connections,
            self._evict_idle,
        )
        self._timeout_task: asyncio.Task[None] | None = None

    @property
    def rejected_count(self) -> int:
        """Number of connections that were closed at once for lack of room."""
        return self._acceptor.rejected_count

    @property
    def unparsed_bytes(self) -> int:
        """How much callers have sent that waits to be parsed."""
        return sum(connection.unparsed_bytes for connection in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """How much of the responses waits for callers to read."""
        return sum(connection.unsent_bytes for connection in self.connections)

    @property
    def limits(self) -> RequestLimits:
        """The current limits on requests."""
        return self._limits()

    @property
    def open_exchanges(self) -> int:
        """Number of connections on which a request is being read or handled."""
        return sum(1 for c in self.connections if not c.is_idle)

    async def start(self) -> None:
        """Bind the address and accept connections."""
        self._acceptor.start()

    def add(self, connection: CallerConnection) -> None:
        """Add an accepted connection, and enforce its timeouts."""
        self.connections.add(connection)
        if self._timeout_task is None:
            self._timeout_task = asyncio.create_task(self._enforce_timeouts())

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has been lost."""
        self._forget(connection)
        self._acceptor.release()

    def _forget(self, connection: CallerConnection) -> None:
        self.connections.discard(connection)
        self._idle.pop(connection, None)

    def mark_idle(self, connection: CallerConnection) -> None:
        """Record that a connection waits for its next request."""
        if connection in self.connections:
            self._idle.pop(connection, None)
            self._idle[connection] = None

    def mark_busy(self, connection: CallerConnection) -> None:
        """Record that a request is being read or handled on a connection."""
        self._idle.pop(connection, None)

    def _evict_idle(self) -> bool:
        """Close the connection that was idle for longest; return False without one.

        One that still sends a response keeps its socket, so closing it makes no room.
        """
        connection = next((c for c in self._idle if not c.is_sending), None)
        if connection is None:
            return False
        self._forget(connection)
        self.evicted_count += 1
        connection.close()
        return True

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or handled."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def reject_unread(self) -> None:
        """Reject the requests that have not been read completely."""
        for connection in list(self.connections):
            connection.reject_unread()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._acceptor.stop()
        if self._timeout_task is not None:
            self._timeout_task.cancel()

    async def _enforce_timeouts(self) -> None:
        """Enforce the timeouts of all connections while there are any."""
        while self.connections:
            await asyncio.sleep(TIMEOUT_CHECK_SECONDS)
            instant = now()
            for connection in list(self.connections):
                connection.enforce_timeout(instant)
        self._timeout_task = None
