"""Callers of the soak, and what each of their requests came to."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.entry.entry_site import API_KEY, CALLER_PORT, read_answer
from tests.soak.endpoint import EVENTS, piece, plain_body

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from tests.entry.entry_site import Answer

__all__ = ["Asked", "Caller", "check"]

KINDS = ("plain", "once", "stream", "draft")
REPEATABLE = ("plain", "stream")
NOT_RUN_STATUSES = (408, 421, 429, 503)
ANSWER_SECONDS = 6.0


@dataclass
class Asked:
    """A request that was sent; no answer means that the connection ended."""

    request_id: str
    kind: str
    answer: Answer | None = None


@dataclass
class Caller:
    """Asks one daemon again and again, mostly on a connection that it keeps."""

    name: str
    address: str
    random: Random
    asked: list[Asked] = field(default_factory=list)

    async def run(self, until: asyncio.Event) -> None:
        connection = None
        while not until.is_set():
            await asyncio.sleep(self.random.uniform(0.0, 0.08))
            try:
                if connection is None:
                    connection = await asyncio.open_connection(
                        self.address, CALLER_PORT
                    )
                is_kept = await self.ask(*connection)
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                is_kept = False
            if not is_kept or self.random.random() < 0.1:
                if connection is not None:
                    connection[1].close()
                connection = None

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Ask once; tell whether the connection can be used again."""
        kind = self.random.choice(KINDS)
        request_id = f"{self.name}-{len(self.asked)}"
        asked = Asked(request_id, kind)
        self.asked.append(asked)
        method, body = ("GET", b"") if kind in REPEATABLE else ("POST", b"x" * 50)
        head = (
            f"{method} /{kind}/{request_id} HTTP/1.1\r\nHost: app.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
            f"Authorization: Bearer {API_KEY}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        async with asyncio.timeout(ANSWER_SECONDS):
            asked.answer = await read_answer(reader)
        return asked.answer.is_complete and (
            asked.answer.headers.get("connection", "") != "close"
        )


def check(asked: Asked, runs: int) -> Iterator[str]:
    """Yield what is wrong with a request that endpoints ran ``runs`` times."""
    answer = asked.answer
    if runs > 1 and asked.kind not in REPEATABLE:
        yield f"{asked.request_id} ran {runs} times"
    if answer is None:
        return
    if runs and answer.status in NOT_RUN_STATUSES and asked.kind not in REPEATABLE:
        yield f"{asked.request_id} was answered {answer.status} and ran"
    if answer.status == 200 and asked.kind in ("plain", "once"):
        if answer.is_complete and answer.body != plain_body(asked.request_id):
            yield f"{asked.request_id} got another body"
    elif answer.status == 200:
        pieces = [piece(asked.request_id, n) for n in range(1, EVENTS + 1)]
        whole = b"".join(pieces)
        if not whole.startswith(answer.body):
            yield f"{asked.request_id} got other events"
        if answer.is_complete and answer.body != whole:
            yield f"{asked.request_id} ended early and looks complete"
    elif answer.status not in (*NOT_RUN_STATUSES, 500, 502, 504):
        yield f"{asked.request_id} was answered {answer.status}"
