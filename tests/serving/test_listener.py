"""How many connections a listener keeps, and which it closes for others."""

from __future__ import annotations

import asyncio

import pytest

from amaranthhollow.serving.listener import Listener
from tests.networks import next_network

PORT = 8221
REQUEST = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
MAX_CONNECTIONS = 3


class Site:
    """A listener that holds requests to ``/held`` until they are released."""

    def __init__(self) -> None:
        self.address = f"{next_network()}.1"
        self.released = asyncio.Event()
        self.listener = Listener(
            self.handle, self.address, PORT, max_connections=MAX_CONNECTIONS
        )
        self.writers = []

    async def handle(self, exchange) -> None:
        if exchange.head.path == b"/held":
            await self.released.wait()
        exchange.respond(200, [], b"")

    async def connect(self, path: bytes):
        """Send a request on a new connection, and return its reader."""
        reader, writer = await asyncio.open_connection(self.address, PORT)
        self.writers.append(writer)
        writer.write(REQUEST % path)
        return reader

    async def is_answered(self, reader) -> bool:
        try:
            async with asyncio.timeout(2.0):
                head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionResetError):
            return False
        return head.startswith(b"HTTP/1.1 200 ")

    async def is_closed(self, reader) -> bool:
        try:
            async with asyncio.timeout(0.5):
                return await reader.read(1) == b""
        except ConnectionResetError:
            return True
        except TimeoutError:
            return False


@pytest.fixture
async def site():
    site = Site()
    await site.listener.start()
    yield site
    for writer in site.writers:
        writer.close()
    site.listener.stop()
    await asyncio.sleep(0.05)


# GONE: callers that left connections open took all descriptors of a host.
async def test_new_connection_takes_the_place_of_the_one_idle_for_longest(site):
    readers = []
    for _ in range(MAX_CONNECTIONS):
        readers.append(await site.connect(b"done"))
        assert await site.is_answered(readers[-1])
    # The first connection is used again, so the second one is idle for longest.
    site.writers[0].write(REQUEST % b"done")
    assert await site.is_answered(readers[0])

    assert await site.is_answered(await site.connect(b"done"))
    assert [await site.is_closed(reader) for reader in readers] == [False, True, False]
    assert len(site.listener.connections) == MAX_CONNECTIONS


async def test_connection_is_closed_at_once_while_none_is_idle(site):
    held = [await site.connect(b"held") for _ in range(MAX_CONNECTIONS)]
    await asyncio.sleep(0.1)
    rejected = await site.connect(b"done")

    assert await site.is_closed(rejected)
    site.released.set()
    assert all([await site.is_answered(reader) for reader in held])
    assert await site.is_answered(await site.connect(b"done"))


async def test_caller_that_left_within_a_request_makes_room(site):
    for _ in range(MAX_CONNECTIONS):
        await site.connect(b"held")
    await asyncio.sleep(0.1)
    for writer in site.writers:
        writer.close()
    await asyncio.sleep(0.1)

    assert await site.is_answered(await site.connect(b"done"))
