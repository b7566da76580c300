"""A model engine as a process of its own, which a test ends by a signal.

    python model_engine3.py ID ADDRESS PORT READ_SECONDS

It reads a prompt for READ_SECONDS, then sends events at a steady pace, and resumes a
stream after ``Last-Event-Id``. Another engine's ``X-Expect-Instance`` gets 421.
"""

from __future__ import annotations

import asyncio
import sys

EVENTS = 8
PAUSE_SECONDS = 0.15


async def serve(
    engine_id: str,
    read_seconds: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Serve one connection."""
    try:
        while True:
            headers = await _read_headers(reader)
            await _respond(engine_id, read_seconds, headers, writer)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def _read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    head = await reader.readuntil(b"\r\n\r\n")
    headers = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return headers


async def _respond(
    engine_id: str,
    read_seconds: float,
    headers: dict[str, str],
    writer: asyncio.StreamWriter,
) -> None:
    echo = f"X-Request-Id: {headers.get('x-request-id', '')}\r\n"
    if headers.get("x-expect-instance") != engine_id:
        rejection = f"HTTP/1.1 421 X\r\n{echo}X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        writer.write(rejection.encode())
        await writer.drain()
        return
    if "x-prefix-hash" not in headers:
        await asyncio.sleep(0.02)
        writer.write(
            f"HTTP/1.1 200 OK\r\n{echo}X-Server-Stamp: {engine_id}\r\n"
            "Content-Length: 5\r\n\r\nwhole".encode()
        )
        await writer.drain()
        return
    await asyncio.sleep(read_seconds)
    writer.write(
        f"HTTP/1.1 200 OK\r\n{echo}X-Server-Stamp: {engine_id}\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        event = b"id: %d\ndata: piece %d\n\n" % (number, number)
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(PAUSE_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def main() -> None:
    """Serve until the process is ended."""
    engine_id, address, port, read_seconds = sys.argv[1:5]
    server = await asyncio.start_server(
        lambda reader, writer: serve(engine_id, float(read_seconds), reader, writer),
        address,
        int(port),
        backlog=1024,
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
