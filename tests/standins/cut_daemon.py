"""Runs a daemon whose links to the endpoints can be cut while all others live on.

It connects to endpoints from its own address, by which they tell hosts apart.

The file that ``AMARANTHHOLLOW_TEST_CUT`` names holds the state of the links: empty, or
``hang`` (nothing passes), ``reset`` (connections are reset, new ones hang) or
``refuse`` (connections live on, new ones are refused).
"""

from __future__ import annotations

import asyncio
import json
import os
import runpy
from pathlib import Path

from tests.entry.entry_site import ENDPOINT_PORT

POLL_SECONDS = 0.02
# An unacknowledged write ends the connection of a daemon after this time.
USER_TIMEOUT_SECONDS = 1.5


class CutLinks:
    """The connections of this process to endpoints, and what happens to them."""

    def __init__(self, state_file: Path) -> None:
        self._state_file = state_file
        self._transports: set[asyncio.Transport] = set()
        self._state = ""

    async def run(self) -> None:
        while True:
            state = self._state_file.read_text().strip()
            if state != self._state:
                self._state = state
                self._apply()
            await asyncio.sleep(POLL_SECONDS)

    async def check_new(self) -> None:
        """Let a new connection through, or fail as the links do."""
        if self._state == "refuse":
            raise ConnectionRefusedError
        while self._state:
            await asyncio.sleep(POLL_SECONDS)

    def add(self, transport: asyncio.Transport) -> None:
        self._transports.add(transport)

    def _apply(self) -> None:
        transports = {t for t in self._transports if not t.is_closing()}
        self._transports = transports
        loop = asyncio.get_running_loop()
        for transport in transports:
            if self._state == "reset":
                transport.abort()
            if self._state == "hang":
                transport.pause_reading()
                transport.resume_reading = _do_nothing
                transport.write = lambda data, t=transport: loop.call_later(
                    USER_TIMEOUT_SECONDS, t.abort
                )


def _do_nothing() -> None:
    """Ignore a call."""


def install(links: CutLinks, address: str) -> None:
    """Let every event loop connect to endpoints through ``links`` from ``address``."""
    connect = asyncio.BaseEventLoop.create_connection
    tasks: list[asyncio.Task] = []

    async def create_connection(loop, factory, host=None, port=None, **options):
        if port != ENDPOINT_PORT:
            return await connect(loop, factory, host, port, **options)
        if not tasks:
            tasks.append(loop.create_task(links.run()))
            await asyncio.sleep(POLL_SECONDS)
        await links.check_new()
        transport, protocol = await connect(
            loop, factory, host, port, local_addr=(address, 0), **options
        )
        links.add(transport)
        return transport, protocol

    asyncio.BaseEventLoop.create_connection = create_connection


if __name__ == "__main__":
    settings = json.loads(Path(os.environ["AMARANTHHOLLOW_NODE_FILE"]).read_text())
    cut_links = CutLinks(Path(os.environ["AMARANTHHOLLOW_TEST_CUT"]))
    install(cut_links, settings["address"])
    runpy.run_module("amaranthhollow.entry", run_name="__main__")
