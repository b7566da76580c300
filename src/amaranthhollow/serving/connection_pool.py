"""Pool of idle connections to endpoints."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from amaranthhollow.serving.endpoint_connection import EndpointConnection

__all__ = ["ConnectionPool", "EndpointAddress", "Reuse"]

EndpointAddress = tuple[str, str, int]
"""An endpoint's incarnation, IP address and port."""

# For endpoints whose responses announce no idle timeout.
DEFAULT_IDLE_SECONDS = 4.0
# A connection used this recently is assumed to be still open at the endpoint.
MAX_FRESH_IDLE_SECONDS = 1.0


class Reuse(Enum):
    """Which pooled connections a request may be sent over.

    ``RECENT`` are those within ``MAX_FRESH_IDLE_SECONDS`` of their last use. The
    endpoint may close one that was idle for longer just as the request is sent, and
    then its outcome is unknown.
    """

    ANY = "any"
    RECENT = "recent"
    NONE = "none"


class ConnectionPool:
    """Idle connections by endpoint; the most recently used is reused first."""

    def __init__(
        self, dial: Callable[[str, int], Awaitable[EndpointConnection | None]]
    ) -> None:
        """Open new connections with ``dial``, which gets an address and a port."""
        self._dial = dial
        self._idle_by_address: dict[EndpointAddress, list[EndpointConnection]] = {}
        self.opened_count = 0

    async def acquire(
        self, address: EndpointAddress, reuse: Reuse
    ) -> EndpointConnection | None:
        """Return a connection, or None if none can be opened."""
        idle = self._idle_by_address.get(address, []) if reuse is not Reuse.NONE else []
        instant = now()
        while idle:
            connection = idle.pop()
            is_fresh = instant - connection.last_used_at < MAX_FRESH_IDLE_SECONDS
            is_unexpired = instant < connection.idle_until
            if (
                connection.is_reusable
                and is_unexpired
                and (is_fresh or reuse is Reuse.ANY)
            ):
                return connection
            connection.close()
        self.opened_count += 1
        return await self._dial(address[1], address[2])

    def release(
        self,
        address: EndpointAddress,
        connection: EndpointConnection,
        idle_timeout_seconds: float | None,
    ) -> None:
        """Pool a connection whose response is complete, or close it."""
        if not connection.is_reusable:
            connection.close()
            return
        seconds = (
            DEFAULT_IDLE_SECONDS
            if idle_timeout_seconds is None
            else idle_timeout_seconds
        )
        connection.idle_until = now() + seconds
        self._idle_by_address.setdefault(address, []).append(connection)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.close()
        self._idle_by_address.clear()

    def retain(
        self, addresses: set[EndpointAddress], relays: Collection[str] = ()
    ) -> None:
        """Close idle connections to all other addresses, and expired ones.

        Connections that a peer relays are kept only if it is one of ``relays``.
        """
        instant = now()
        for address, idle in list(self._idle_by_address.items()):
            kept = [
                connection
                for connection in idle
                if address in addresses
                and connection.is_reusable
                and instant < connection.idle_until
                and (connection.relay is None or connection.relay in relays)
            ]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
