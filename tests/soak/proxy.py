"""A proxy on loopback that spoils the connections to one endpoint."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import Enum

from tests.standins.scripted_endpoint import reset_connection

__all__ = ["Link", "Proxy"]

CHUNK_BYTES = 65_536


class Link(Enum):
    """What the proxy does to every connection."""

    SOUND = "sound"
    SLOW = "slow"
    RESETS = "resets"
    LOSES_ANSWERS = "loses answers"
    SILENT = "silent"


@dataclass
class Proxy:
    """Passes bytes on to ``target`` as ``link`` says at that moment."""

    target: tuple[str, int]
    link: Link = Link.SOUND
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, address: str, port: int) -> asyncio.Server:
        return await asyncio.start_server(self._accept, address, port)

    def change(self, link: Link) -> None:
        """Change what happens from now on; resets hit open connections as well."""
        self.link = link
        if link is Link.RESETS:
            for writer in self.writers:
                reset_connection(writer)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.link is Link.RESETS:
            return reset_connection(writer)
        try:
            behind, onward = await asyncio.open_connection(*self.target)
        except OSError:
            return reset_connection(writer)
        self.writers |= {writer, onward}
        try:
            await asyncio.gather(
                self._pump(reader, onward, is_answer=False),
                self._pump(behind, writer, is_answer=True),
            )
        except OSError:
            reset_connection(writer)
        finally:
            self.writers -= {writer, onward}
            writer.close()
            onward.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        has_lost = False
        while data := await reader.read(CHUNK_BYTES):
            if self.link is Link.SLOW:
                await asyncio.sleep(0.05)
            loses = is_answer and self.link is Link.LOSES_ANSWERS
            # TCP passes nothing on after a gap: what is lost ends the direction.
            has_lost = has_lost or loses or self.link is Link.SILENT
            if not has_lost:
                writer.write(data)
                await writer.drain()
        if not has_lost:
            writer.close()
