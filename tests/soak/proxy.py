"""A loopback proxy that injects faults into the connections to one endpoint."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import Enum

from tests.standins.scripted_endpoint import reset_connection

__all__ = ["LinkState", "Proxy"]

CHUNK_BYTES = 65_536
# In which bytes pass the proxy.
RELAY_SECONDS = 0.5


class LinkState(Enum):
    """The fault that the proxy injects into every connection."""

    HEALTHY = "healthy"
    SLOW = "slow"
    RESETTING = "resetting"
    DROPPING_RESPONSES = "dropping responses"
    DROPPING_ALL = "dropping all"


@dataclass
class Proxy:
    """Relays bytes to and from ``target``, with the fault that ``link_state`` names.

    It connects from the address of the host, by which the target tells hosts apart.
    ``lost_rests`` records which hosts did not get a response that told them to stay
    away.
    """

    target: tuple[str, int]
    link_state: LinkState = LinkState.HEALTHY
    lost_rests: list[tuple[str, float]] = field(default_factory=list)
    open_writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, address: str, port: int) -> asyncio.Server:
        return await asyncio.start_server(self._accept, address, port)

    def set_link_state(self, link_state: LinkState) -> None:
        """Set the link's state; ``RESETTING`` also resets the open connections."""
        self.link_state = link_state
        if link_state is LinkState.RESETTING:
            for writer in self.open_writers:
                reset_connection(writer)

    def has_lost_rest(self, host: str, told_at: float) -> bool:
        """Return whether a host did not get what it was told at a time."""
        return any(
            lost == host and told_at <= at <= told_at + RELAY_SECONDS
            for lost, at in self.lost_rests
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.link_state is LinkState.RESETTING:
            return reset_connection(writer)
        try:
            sender = writer.get_extra_info("peername")[0]
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.target, local_addr=(sender, 0)
            )
        except OSError:
            return reset_connection(writer)
        self.open_writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._relay(reader, upstream_writer, None),
                self._relay(upstream_reader, writer, sender),
            )
        except OSError:
            reset_connection(writer)
        finally:
            self.open_writers -= {writer, upstream_writer}
            writer.close()
            upstream_writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        responds_to: str | None,
    ) -> None:
        """Relay requests, or the responses to the host that ``responds_to`` names."""
        has_dropped = False
        while data := await reader.read(CHUNK_BYTES):
            if self.link_state is LinkState.SLOW:
                await asyncio.sleep(0.05)
            drops_response = (
                responds_to is not None
                and self.link_state is LinkState.DROPPING_RESPONSES
            )
            # TCP delivers nothing past a gap, so relay nothing after dropped bytes.
            has_dropped = (
                has_dropped
                or drops_response
                or self.link_state is LinkState.DROPPING_ALL
            )
            if not has_dropped:
                writer.write(data)
                await writer.drain()
            elif responds_to is not None and b"\r\nRetry-After: " in data:
                self.lost_rests.append((responds_to, time.monotonic()))
        if not has_dropped:
            writer.close()
