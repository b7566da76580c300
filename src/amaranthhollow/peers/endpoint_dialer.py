"""Opens connections to endpoints, through a peer if this host has lost its links."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.endpoint_links import EndpointLinks
from amaranthhollow.peers.relay_protocol import RelayStatus
from amaranthhollow.peers.relayed_connection import connect_through_peer
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.endpoint_connection import EndpointConnection, connect

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EndpointDialer", "Reachability"]

# A lost SYN is first retransmitted after 1 s (RFC 6298); another endpoint is tried
# before that.
CONNECT_TIMEOUT_SECONDS = 0.4
# Longer than the round trip within a region (RFC 8305 has 250 ms for the internet).
RELAY_DELAY_SECONDS = 0.1
RELAY_TIMEOUT_SECONDS = 0.5
MAX_RELAYS_TRIED = 4
# A peer that has just failed is not asked again by then.
FAILED_RELAY_SECONDS = 1.0

log = logbook.Logger("links")


class Reachability(Enum):
    """Whether an endpoint accepts connections."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class EndpointDialer:
    """Connects one host to endpoints, and keeps the state of its links."""

    def __init__(
        self,
        relays: Callable[[], list[str]],
        relay_port: int,
        count_dial: Callable[[str, str], None],
    ) -> None:
        """Use the peers that ``relays`` returns, which relay at ``relay_port``.

        ``count_dial`` gets the path and the outcome of each new connection.
        ``notify_links_lost`` is called once it is certain that the links are lost.
        """
        self.notify_links_lost: Callable[[], None] = _ignore
        self._relays = relays
        self._count_dial = count_dial
        self._relay_port = relay_port
        self._links = EndpointLinks()
        self._were_lost = False
        self._was_loss_proven = False
        self._relay_failed_at: dict[str, float] = {}
        self._unused_tasks: set[asyncio.Task] = set()

    @property
    def has_links(self) -> bool:
        """Whether this host reaches endpoints by itself, as far as known."""
        return not self._links.are_lost

    def may_reach(self, endpoint: str) -> bool:
        """Return whether this host may reach an endpoint, given as ``ADDRESS:PORT``."""
        return self._links.may_reach(endpoint)

    async def dial(self, address: str, port: int) -> EndpointConnection | None:
        """Connect to an endpoint, or return None."""
        if self._links.are_lost:
            match await self._dial_through_peers(address, port):
                case EndpointConnection() as connection:
                    return connection
                case RelayStatus.NO_LINKS if self.may_reach(f"{address}:{port}"):
                    return await self.dial_directly(address, port)
            return None
        direct = asyncio.create_task(self.dial_directly(address, port))
        try:
            await asyncio.wait([direct], timeout=RELAY_DELAY_SECONDS)
        except asyncio.CancelledError:
            self._close_result(direct)
            raise
        if direct.done() and (
            direct.result() is not None or not self._links.are_doubtful(now())
        ):
            return direct.result()
        relayed = asyncio.create_task(self._dial_through_peers(address, port))
        return await self._first_connection({direct, relayed})

    async def dial_directly(self, address: str, port: int) -> EndpointConnection | None:
        """Connect to an endpoint over this host's own links, or return None."""
        connection = await connect(address, port, CONNECT_TIMEOUT_SECONDS)
        self._count_dial("direct", "failed" if connection is None else "connected")
        self.record_direct(f"{address}:{port}", connection is not None)
        return connection

    async def check(self, address: str, port: int) -> Reachability:
        """Return whether an endpoint accepts connections, at least of a peer.

        This is unknown if neither this host nor any peer seems to have links.
        """
        connection = await self.dial_directly(address, port)
        if connection is not None:
            connection.close()
            return Reachability.REACHABLE
        result = await self._dial_through_peers(address, port)
        match result:
            case EndpointConnection():
                result.close()
                return Reachability.REACHABLE
            case RelayStatus.NO_LINKS if self._links.are_lost:
                return Reachability.UNKNOWN
            case _:
                return Reachability.UNREACHABLE

    def record_direct(self, endpoint: str, succeeded: bool) -> None:
        """Record the result of a connection over this host's own links."""
        if succeeded:
            self._links.record_connected(now())
        else:
            self._links.record_failure(endpoint, now())
        self._follow_change()

    async def _dial_through_peers(
        self, address: str, port: int
    ) -> EndpointConnection | RelayStatus:
        """Connect through the first peer that has links, or return why this failed."""
        instant = now()
        peers = [
            peer
            for peer in self._relays()
            if instant - self._relay_failed_at.get(peer, 0.0) >= FAILED_RELAY_SECONDS
        ]
        for peer in peers[:MAX_RELAYS_TRIED]:
            result = await connect_through_peer(
                (peer, self._relay_port), (address, port), RELAY_TIMEOUT_SECONDS
            )
            match result:
                case EndpointConnection():
                    self._count_dial("relayed", "connected")
                    self._links.record_relayed(f"{address}:{port}")
                    self._follow_change()
                    return result
                case RelayStatus.ENDPOINT_FAILED:
                    self._count_dial("relayed", "failed")
                    return result
                case RelayStatus.NO_LINKS:
                    self._count_dial("relayed", "peer without links")
                    self._relay_failed_at[peer] = now()
        return RelayStatus.NO_LINKS

    async def _first_connection(
        self, tasks: set[asyncio.Task[EndpointConnection | RelayStatus | None]]
    ) -> EndpointConnection | None:
        """Return the first connection that opens, and close a later one."""
        pending = set(tasks)
        try:
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if isinstance(task.result(), EndpointConnection):
                        tasks = tasks - {task}
                        return task.result()
            return None
        finally:
            for task in tasks:
                self._close_result(task)

    def _close_result(
        self, task: asyncio.Task[EndpointConnection | RelayStatus | None]
    ) -> None:
        """Close the connection of a task once it has ended."""
        self._unused_tasks.add(task)
        task.add_done_callback(self._discard)

    def _discard(
        self, task: asyncio.Task[EndpointConnection | RelayStatus | None]
    ) -> None:
        self._unused_tasks.discard(task)
        if not task.cancelled() and isinstance(task.result(), EndpointConnection):
            task.result().close()

    def _follow_change(self) -> None:
        if self._links.are_lost is not self._were_lost:
            self._were_lost = self._links.are_lost
            event = "links to endpoints lost" if self._were_lost else "links restored"
            log.info(event, extra={"relays": len(self._relays())})
        if self._links.is_loss_proven and not self._was_loss_proven:
            self.notify_links_lost()
        self._was_loss_proven = self._links.is_loss_proven


def _ignore() -> None:
    """Do nothing about links that were lost before a receiver is set."""
