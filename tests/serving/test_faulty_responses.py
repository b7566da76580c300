"""Responses of faulty endpoints: cut, of no valid status, or without end."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from amaranthhollow.serving.endpoint_connection import (
    MAX_HEAD_BYTES,
    BodyPart,
    ConnectionLost,
    LossKind,
    ResponseEnd,
    connect,
)
from amaranthhollow.serving.messages import ResponseHead

REQUEST = b"POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n"
GET = b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n"
# The buffers of the system hold the rest of the first, and not of the last.
BODY_BYTES = [400_000, 3 << 20, 16 << 20]
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


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


# A host kept all trailer fields of a response until it ran out of memory.
@pytest.mark.parametrize(
    "part",
    [
        b"0\r\n" + b"x-a: b\r\n" * 1000,
        b"0\r\nx-a: " + b"b" * 8000,
        b"0\r\n" + b"x" * 8000,
        b"4;" + b"e" * 8000,
        b"4\r\nbody\r\n0\r\nx-a: " + b"b" * 8000,
    ],
    ids=["trailers", "value", "name", "extension", "trailer after a body"],
)
async def test_framing_without_end_is_malformed(part):
    sent = 0

    async def respond(reader, writer):
        nonlocal sent
        writer.write(CHUNKED_HEAD + part)
        rest = part.rpartition(b"\r\n")[2] or b"x-a: b\r\n" * 1000
        while sent < 100 * MAX_HEAD_BYTES:
            writer.write(rest)
            await writer.drain()
            sent += len(rest)

    async with asyncio.timeout(10), connection_to(respond) as connection:
        connection.send(GET)
        events = await read_events(connection)

    assert isinstance(events[0], ResponseHead)
    assert events[-1].kind is LossKind.MALFORMED
    assert sent < 100 * MAX_HEAD_BYTES


async def test_trailers_and_chunks_of_one_byte_are_read():
    body = b"1\r\nx\r\n" * 50_000

    async def respond(reader, writer):
        writer.write(CHUNKED_HEAD + body + b"0\r\nx-a: b\r\n\r\n")
        await writer.drain()

    async with connection_to(respond) as connection:
        connection.send(GET)
        events = await read_events(connection)

    assert events[-1] == ResponseEnd()
    assert sum(len(e.data) for e in events[1:-1]) == 50_000
    assert events[0].headers == ((b"transfer-encoding", b"chunked"),)
