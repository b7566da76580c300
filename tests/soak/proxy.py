"""A loopback proxy that injects faults into the connections to one endpoint."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from tests.standins.scripted_endpoint import reset_connection

__all__ = ["LinkState", "Proxy"]

CHUNK_BYTES = 65_536


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
    """

    target: tuple[str, int]
    link_state: LinkState = LinkState.HEALTHY
    open_writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, address: str, port: int) -> asyncio.Server:
        return await asyncio.start_server(self._accept, address, port)

    def set_link_state(self, link_state: LinkState) -> None:
        """Set the link's state; ``RESETTING`` also resets the open connections."""
        self.link_state = link_state
        if link_state is LinkState.RESETTING:
            for writer in self.open_writers:
                reset_connection(writer)

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
                self._relay(reader, upstream_writer, is_response=False),
                self._relay(upstream_reader, writer, is_response=True),
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
        *,
        is_response: bool,
    ) -> None:
        has_dropped = False
        while data := await reader.read(CHUNK_BYTES):
            if self.link_state is LinkState.SLOW:
                await asyncio.sleep(0.05)
            drops_response = (
                is_response and self.link_state is LinkState.DROPPING_RESPONSES
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
        if not has_dropped:
            writer.close()
