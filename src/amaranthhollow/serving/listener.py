"""HTTP server socket and the connections that it accepted."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from amaranthhollow.decisions.site import RequestLimits
from amaranthhollow.serving.caller_connection import CallerConnection
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from amaranthhollow.serving.exchange import Exchange

__all__ = ["Listener"]

BACKLOG = 1024
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
    ) -> None:
        """Listen at ``address`` once :meth:`start` is called.

        ``limits`` returns the current limits on requests. Beyond ``max_connections``
        each new connection takes the place of the one that was idle for longest, and
        is closed at once while none is idle.
        """
        self.handle = handle
        self._limits = limits
        self.is_draining = False
        self.rejects_new_requests = False
        self.connections: set[CallerConnection] = set()
        self.evicted_count = 0
        self.rejected_count = 0
        self._max_connections = max_connections
        # In the order in which they became idle.
        self._idle: dict[CallerConnection, None] = {}
        self._address = address
        self._port = port
        self._server: asyncio.Server | None = None
        self._timeout_task: asyncio.Task[None] | None = None

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
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self),
            self._address,
            self._port,
            backlog=BACKLOG,
            reuse_address=True,
        )

    def add(self, connection: CallerConnection) -> bool:
        """Add an accepted connection, and enforce its timeouts.

        Return False if there is no room for it.
        """
        if len(self.connections) >= self._max_connections and not self._evict_idle():
            self.rejected_count += 1
            return False
        self.connections.add(connection)
        if self._timeout_task is None:
            self._timeout_task = asyncio.create_task(self._enforce_timeouts())
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Remove a connection that has been lost."""
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
        """Close the connection that was idle for longest; return False without one."""
        if not self._idle:
            return False
        connection = next(iter(self._idle))
        self.remove(connection)
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
        if self._server is not None:
            self._server.close()
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
