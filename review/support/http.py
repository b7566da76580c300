"""A small HTTP/1.1 server and client on asyncio."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "Answer",
    "Request",
    "encode_answer",
    "read_message",
    "reset",
    "send_request",
    "serve",
]


@dataclass(frozen=True)
class Request:
    """A request that was read completely."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The first value of each parameter of the query."""
        return {k: v[0] for k, v in parse_qs(urlsplit(self.target).query).items()}


@dataclass(frozen=True)
class Answer:
    """An answer; status 0 stands for a connection that ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read a start line, headers and a body of stated length or of chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for item in filter(None, rest):
        name, _, value = item.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = bytearray()
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
        return line, headers, bytes(body)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line, headers, body


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Encode an answer with its length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def serve(
    address: str,
    port: int,
    handle: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]],
    writers: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Call ``handle`` for each request, one at a time on a connection.

    It writes the answer itself, and returns whether the connection goes on.
    """

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                if not await handle(Request(method, target, headers, body), writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    return await asyncio.start_server(
        serve_connection, address, port, backlog=512, reuse_address=True
    )


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def send_request(
    address: str, port: int, head: str, body: bytes = b"", seconds: float = 10.0
) -> Answer:
    """Send one request over a new connection and read its answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(address, port)
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            writer.write(f"{head}{length}\r\n".encode("latin-1") + body)
            line, headers, content = await read_message(reader)
        return Answer(int(line.split()[1]), headers, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"", is_complete=False)
    finally:
        if writer is not None:
            writer.close()
