"""Servers and callers of the cases, and a crowd of callers that stop short."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

from http11 import (
    Request,
    Response,
    read_request,
    read_response,
    response_bytes,
    start_server,
)
from small_site import FRONT_PORT, HOSTNAME, SERVER_PORT, Site, ordinary_request

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = [
    "Attempt",
    "Caller",
    "Run",
    "ServiceStandIn",
    "crowd_head",
    "crowd_request",
    "hold_crowd",
]

CONNECTING_AT_ONCE = 100
RETRY_SECONDS = 0.2
BODY_BYTES = 8_000


@dataclass
class Run:
    """One request that a server began to run."""

    at: float
    server: str
    request_id: str
    path: str


@dataclass
class ServiceStandIn:
    """A sound server of a plain service: runs each request and answers it."""

    server_id: str
    work_seconds: float
    runs: list[Run] = field(default_factory=list)

    async def start(self, site: Site, number: int) -> None:
        """Serve, and write the entry in the store."""
        address = f"{site.network}.{number}"
        await start_server(self._serve, address, SERVER_PORT)
        site.add_server(self.server_id, address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            writer.write(await self._answer(request))
            await writer.drain()

    async def _answer(self, request: Request) -> bytes:
        request_id = request.headers.get("x-request-id", "")
        headers = {"X-Request-Id": request_id, "X-Instance-Id": self.server_id}
        if request.path == "/health":
            return response_bytes(200, headers)
        if request.headers.get("x-expect-instance", self.server_id) != self.server_id:
            return response_bytes(421, headers)
        self.runs.append(Run(time.time(), self.server_id, request_id, request.path))
        await asyncio.sleep(self.work_seconds)
        headers["X-Server-Stamp"] = f"{self.server_id}.{request_id}"
        return response_bytes(200, headers, b"a" * 800)


@dataclass
class Attempt:
    """One attempt of a caller; ``end`` says how it ended."""

    request_id: str
    sent_at: float
    ended_at: float = 0.0
    end: str = ""


class Caller:
    """An ordinary caller that sends one request after the other."""

    def __init__(self, name: str, address: str, path: str, method: str) -> None:
        """Call the host at ``address``."""
        self.name = name
        self.attempts: list[Attempt] = []
        self._address = address
        self._path = path
        self._method = method
        self._body = b"f" * 400 if method == "POST" else b""

    async def run(
        self, until: float, *, deadline_ms: int, is_kept: bool, pause: float
    ) -> None:
        """Call until then, on a kept connection or each time on a new one."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while time.time() < until:
            request_id = f"{self.name}-{len(self.attempts)}"
            attempt = Attempt(request_id, time.time())
            self.attempts.append(attempt)
            data = ordinary_request(
                request_id,
                self._path,
                method=self._method,
                deadline_ms=deadline_ms,
                body=self._body,
            )
            try:
                async with asyncio.timeout(deadline_ms / 1000):
                    if streams is None:
                        async with asyncio.timeout(1):
                            streams = await asyncio.open_connection(
                                self._address, FRONT_PORT
                            )
                    streams[1].write(data)
                    response = await read_response(streams[0])
                attempt.end = _end_of(response)
                closes = response.headers.get("connection") == "close"
                if not is_kept or closes or not response.is_complete:
                    streams[1].close()
                    streams = None
            except TimeoutError:
                attempt.end = "no answer in time"
                streams = _reset(streams)
            except (OSError, asyncio.IncompleteReadError) as error:
                attempt.end = f"closed without an answer ({type(error).__name__})"
                streams = _reset(streams)
            attempt.ended_at = time.time()
            is_answered = attempt.end.isdigit()
            await asyncio.sleep(pause if is_answered else max(pause, RETRY_SECONDS))


def _end_of(response: Response) -> str:
    return f"{response.status}" if response.is_complete else "answer cut"


def _reset(streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None) -> None:
    if streams is not None:
        streams[1].transport.abort()


def crowd_head(number: int, fields: Sequence[tuple[str, str]] = ()) -> bytes:
    """Return the head of a request with a body."""
    start = (
        f"POST /lookup/{number} HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
        f"X-Request-Id: crowd-{number}\r\nContent-Length: {BODY_BYTES}\r\n"
    )
    rest = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"{start}{rest}\r\n".encode()


def crowd_request(number: int, fields: Sequence[tuple[str, str]] = ()) -> bytes:
    """Return a request whose body stops one byte short of its end."""
    return crowd_head(number, fields) + b"a" * (BODY_BYTES - 1)


async def hold_crowd(
    address: str,
    count: int,
    make_request: Callable[[int], bytes],
    per_second: float = inf,
) -> list[asyncio.StreamWriter]:
    """Open that many connections, and send one request short of its end on each."""
    connecting = asyncio.Semaphore(CONNECTING_AT_ONCE)
    writers: list[asyncio.StreamWriter] = []

    async def connect(number: int) -> None:
        await asyncio.sleep(number / per_second)
        async with connecting:
            try:
                async with asyncio.timeout(5):
                    _, writer = await asyncio.open_connection(address, FRONT_PORT)
            except (OSError, TimeoutError):
                return
            writer.write(make_request(number))
            writers.append(writer)

    await asyncio.gather(*map(connect, range(count)))
    return writers
