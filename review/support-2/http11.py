"""A small HTTP/1.1 server and reader, enough for the stand-ins and the callers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = [
    "Request",
    "Response",
    "read_request",
    "read_response",
    "response_bytes",
    "start_server",
]

BACKLOG = 2048
STREAM_LIMIT = 1 << 22


@dataclass
class Request:
    """One request; ``headers`` have lower-case names."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """The first value of each parameter of the query."""
        parsed = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in parsed.items()}


@dataclass
class Response:
    """One response; ``is_complete`` is whether it ended as its head says."""

    status: int
    headers: dict[str, str]
    body: bytes = b""
    is_complete: bool = False
    chunk_times: list[float] = field(default_factory=list)


def _parse_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return headers


async def _read_chunked(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if not size:
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
            return
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    line, *rest = head.decode("latin-1").split("\r\n")
    method, target, _ = line.split(" ")
    headers = _parse_headers(rest)
    body = bytearray()
    if "chunked" in headers.get("transfer-encoding", ""):
        await _read_chunked(reader, body)
    else:
        body += await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, bytes(body))


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Return a response, complete or as far as it came."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *rest = head.decode("latin-1").split("\r\n")
        status = int(line.split(" ")[1])
        if status >= 200:
            break
    headers = _parse_headers(rest)
    body = bytearray()
    is_complete = True
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            await _read_chunked(reader, body)
        elif "content-length" in headers:
            length = int(headers["content-length"])
            while len(body) < length:
                data = await reader.read(length - len(body))
                if not data:
                    is_complete = False
                    break
                body += data
        elif status not in (204, 304):
            while data := await reader.read(65_536):
                body += data
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        is_complete = False
    return Response(status, headers, bytes(body), is_complete)


def response_bytes(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def start_server(
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    address: str,
    port: int,
) -> asyncio.Server:
    """Serve connections until the server is closed; lost ones are no error."""

    async def guarded(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except (
            ConnectionError,
            TimeoutError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        guarded, address, port, backlog=BACKLOG, limit=STREAM_LIMIT
    )
