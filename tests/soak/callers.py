"""Callers of the soak test, and the checks on the responses that they got."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.entry.entry_site import API_KEY, CALLER_PORT, read_response
from tests.soak.endpoint import (
    EVENT_COUNT,
    expected_body,
    expected_event,
    parse_events,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from tests.entry.entry_site import HttpResponse

__all__ = ["Caller", "SentRequest", "find_violations"]

KINDS = ("plain", "once", "stream", "draft")
IDEMPOTENT_KINDS = ("plain", "stream")
NOT_RUN_STATUSES = (408, 421, 429, 503)
RESPONSE_TIMEOUT_SECONDS = 6.0


@dataclass
class SentRequest:
    """A request that was sent; it has no response if the connection was lost."""

    request_id: str
    kind: str
    response: HttpResponse | None = None
    sent_at: float = field(default_factory=time.monotonic)
    responded_at: float = 0.0


@dataclass
class Caller:
    """Sends requests to one daemon, reusing its connection most of the time."""

    name: str
    address: str
    random: Random
    sent_requests: list[SentRequest] = field(default_factory=list)

    async def run(self, stopped: asyncio.Event) -> None:
        connection = None
        while not stopped.is_set():
            await asyncio.sleep(self.random.uniform(0.0, 0.08))
            try:
                if connection is None:
                    connection = await asyncio.open_connection(
                        self.address, CALLER_PORT
                    )
                is_reusable = await self.send_request(*connection)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                is_reusable = False
            if not is_reusable or self.random.random() < 0.1:
                if connection is not None:
                    connection[1].close()
                connection = None

    async def send_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; return whether the connection can be reused."""
        kind = self.random.choice(KINDS)
        request_id = f"{self.name}-{len(self.sent_requests)}"
        sent = SentRequest(request_id, kind)
        self.sent_requests.append(sent)
        method, body = ("GET", b"") if kind in IDEMPOTENT_KINDS else ("POST", b"x" * 50)
        head = (
            f"{method} /{kind}/{request_id} HTTP/1.1\r\nHost: app.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
            f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        async with asyncio.timeout(RESPONSE_TIMEOUT_SECONDS):
            sent.response = await read_response(reader)
        sent.responded_at = time.monotonic()
        return sent.response.is_complete and (
            sent.response.headers.get("connection", "") != "close"
        )


def find_violations(sent: SentRequest, runs: int) -> Iterator[str]:
    """Yield each violation by a request that endpoints ran ``runs`` times."""
    response = sent.response
    if runs > 1 and sent.kind not in IDEMPOTENT_KINDS:
        yield f"{sent.request_id} ran {runs} times"
    if response is None:
        return
    if (
        runs
        and response.status in NOT_RUN_STATUSES
        and sent.kind not in IDEMPOTENT_KINDS
    ):
        yield f"{sent.request_id} got status {response.status} but ran"
    if response.status == 200 and sent.kind in ("plain", "once"):
        if response.is_complete and response.body != expected_body(sent.request_id):
            yield f"{sent.request_id} got an unexpected body"
    elif response.status == 200:
        versions = [version for _, version in parse_events(response.body)]
        version = versions[0] if versions else ""
        events = [
            expected_event(sent.request_id, number, version)
            for number in range(1, EVENT_COUNT + 1)
        ]
        expected = b"".join(events)
        if not expected.startswith(response.body):
            yield f"{sent.request_id} got unexpected events"
        if response.is_complete and response.body != expected:
            yield f"{sent.request_id} got a truncated stream that was marked complete"
    elif response.status not in (*NOT_RUN_STATUSES, 500, 502, 504):
        yield f"{sent.request_id} got unexpected status {response.status}"
