"""Requests whose handling fails."""

from __future__ import annotations

import asyncio

import pytest

from amaranthhollow.serving.listener import Listener
from tests.networks import next_network

PORT = 8221
REQUEST = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
async def connection():
    """A connection to a listener whose handler fails before or within a response."""

    async def handle(exchange):
        if exchange.head.path == b"/within":
            exchange.start(200, [])
            exchange.send(b"part")
        if exchange.head.path != b"/whole":
            raise OverflowError("port must be 0-65535")
        exchange.respond(200, [], b"")

    address = f"{next_network()}.1"
    listener = Listener(handle, address, PORT)
    await listener.start()
    reader, writer = await asyncio.open_connection(address, PORT)
    yield reader, writer
    writer.close()
    listener.stop()


# The connection was broken off without a response, and what was on its way lost.
async def test_request_whose_handler_fails_gets_a_response(connection):
    reader, writer = connection
    writer.write(REQUEST % b"before" + REQUEST % b"whole")

    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 500 ")
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")


async def test_response_that_was_started_is_broken_off(connection):
    reader, writer = connection
    writer.write(REQUEST % b"within")

    response = await reader.read()
    assert response.endswith(b"part\r\n")
    assert b"HTTP/1.1 500" not in response
