"""Keeps connections to endpoints for further requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.serving.clock import now
from amaranthhollow.serving.endpoint_connection import connect

if TYPE_CHECKING:
    from amaranthhollow.serving.endpoint_connection import EndpointConnection

__all__ = ["ConnectionPool", "EndpointAddress"]

EndpointAddress = tuple[str, str, int]
"""The incarnation that serves there, its IP address and its port."""

# Two retransmissions of a lost opening packet are not waited for: another endpoint
# is tried before the first one's time-out of a second (RFC 6298).
CONNECT_TIMEOUT_SECONDS = 0.4
# Idle connections of endpoints that announce no time-out are kept this long.
DEFAULT_IDLE_SECONDS = 4.0
# A connection that was used this recently is taken as not yet dropped.
FRESH_SECONDS = 1.0


class ConnectionPool:
    """Idle connections by endpoint; the one used last is taken first."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle_by_address: dict[EndpointAddress, list[EndpointConnection]] = {}
        self.opened = 0

    async def acquire(
        self, address: EndpointAddress, *, needs_fresh: bool
    ) -> EndpointConnection | None:
        """Return a connection, or None if the endpoint takes none.

        With ``needs_fresh`` a kept connection must have been used a moment ago: one
        that its endpoint has dropped meanwhile would leave the outcome unknown.
        """
        idle = self._idle_by_address.get(address, [])
        instant = now()
        while idle:
            connection = idle.pop()
            is_fresh = instant - connection.used_at < FRESH_SECONDS
            is_kept = instant < connection.kept_until
            if connection.is_reusable and is_kept and (is_fresh or not needs_fresh):
                return connection
            connection.close()
        self.opened += 1
        return await connect(address[1], address[2], CONNECT_TIMEOUT_SECONDS)

    def release(
        self,
        address: EndpointAddress,
        connection: EndpointConnection,
        idle_timeout_seconds: float | None,
    ) -> None:
        """Keep a connection whose answer is complete, or close it."""
        if not connection.is_reusable:
            connection.close()
            return
        seconds = (
            DEFAULT_IDLE_SECONDS
            if idle_timeout_seconds is None
            else idle_timeout_seconds
        )
        connection.kept_until = now() + seconds
        self._idle_by_address.setdefault(address, []).append(connection)

    def retain(self, addresses: set[EndpointAddress]) -> None:
        """Close idle connections to all other addresses, and expired ones."""
        instant = now()
        for address, idle in list(self._idle_by_address.items()):
            kept = [
                connection
                for connection in idle
                if address in addresses
                and connection.is_reusable
                and instant < connection.kept_until
            ]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]
