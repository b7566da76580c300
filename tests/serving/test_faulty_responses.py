"""Responses of faulty endpoints: cut, or of no valid status."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from amaranthhollow.serving.endpoint_connection import (
    BodyPart,
    ConnectionLost,
    LossKind,
    ResponseEnd,
    connect,
)

REQUEST = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
GET = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
# The buffers of the system hold the rest of the first, and not of the last.
BODY_BYTES = [400_000, 3 << 20, 16 << 20]


@asynccontextmanager
async def connection_to(respond):
    """Yield a connection to an endpoint that runs ``respond`` after a request's head.

    It reads no further by itself, so that the rest of a body stays unread.
    """

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await respond(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
    port = server.sockets[0].getsockname()[1]
    connection = await connect("127.0.0.1", port, 1.0)
    try:
        yield connection
    finally:
        connection.abort()
        server.close()


async def read_events(connection):
    """Return the events up to the end of the response or of the connection."""
    events = []
    while not events or not isinstance(events[-1], ResponseEnd | ConnectionLost):
        events.append(await connection.read())
    return events


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# A caller got a part of an answer as the whole one.
@pytest.mark.parametrize("size", BODY_BYTES)
@pytest.mark.parametrize("ending", ["end of file", "reset"])
async def test_response_that_ends_before_its_request_was_sent_is_incomplete(
    ending, size
):
    async def respond(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")
        await writer.drain()
        await asyncio.sleep(0.05)
        if ending == "end of file":
            writer.write_eof()
            await asyncio.sleep(0.05)
        reset(writer)

    async with connection_to(respond) as connection:
        connection.send(REQUEST % size + bytes(size))
        events = await read_events(connection)

    assert isinstance(events[-1], ConnectionLost)


@pytest.mark.parametrize("size", BODY_BYTES)
async def test_response_that_ends_with_its_connection_is_complete(size):
    async def respond(reader, writer):
        await reader.readexactly(size)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")

    async with connection_to(respond) as connection:
        connection.send(REQUEST % size + bytes(size))
        events = await read_events(connection)

    assert events[1:] == [BodyPart(b"whole"), ResponseEnd()]


# A caller got 500, or a status that HTTP does not have.
@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
async def test_status_that_http_does_not_have_is_malformed(status):
    async def respond(reader, writer):
        writer.write(b"HTTP/1.1 %s X\r\ncontent-length: 2\r\n\r\nok" % status)

    async with connection_to(respond) as connection:
        connection.send(GET)
        events = await read_events(connection)

    assert [type(event) for event in events] == [ConnectionLost]
    assert events[0].kind is LossKind.MALFORMED
