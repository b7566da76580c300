"""Connections to other daemons, opened on demand and reopened after a loss."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import capnp
from result import Err, Ok, Result

from amaranthhollow.peers.schema import PeerInterface

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["PeerLinks"]

CALL_TIMEOUT_SECONDS = 1.0


class PeerLinks:
    """Connections to peers, one for each address."""

    def __init__(self, port: int) -> None:
        """Connect to ``port``, which is the same on every host."""
        self._port = port
        self._connections_by_address: dict[str, tuple[Any, Any]] = {}
        self._locks_by_address: dict[str, asyncio.Lock] = {}

    async def call(
        self,
        address: str,
        method: Callable[[Any], Awaitable[Any]],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[Any, str]:
        """Call ``method`` on the peer at ``address``.

        A call that fails drops the connection; the next call opens a new one.

        Example: ``await links.call(address, lambda peer: peer.exchange(data))``.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                peer = await self._connect(address)
                return Ok(await method(peer))
        except (capnp.KjException, OSError, TimeoutError) as error:
            self._connections_by_address.pop(address, None)
            return Err(str(error) or type(error).__name__)

    def close(self) -> None:
        """Close every connection."""
        self._connections_by_address.clear()

    async def _connect(self, address: str) -> Any:
        async with self._locks_by_address.setdefault(address, asyncio.Lock()):
            connection = self._connections_by_address.get(address)
            if connection is None:
                stream = await capnp.AsyncIoStream.create_connection(
                    address, self._port
                )
                client = capnp.TwoPartyClient(stream)
                connection = (client, client.bootstrap().cast_as(PeerInterface))
                self._connections_by_address[address] = connection
            return connection[1]
