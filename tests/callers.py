"""Callers that send model requests to a daemon and read the streamed response."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp

from tests.site import ADVISER_KEY

if TYPE_CHECKING:
    from tests.site import Site

__all__ = [
    "AUTHORIZATION",
    "StreamedResponse",
    "stream_completion",
    "stream_completion_with_resume",
    "unique_prompt",
]

AUTHORIZATION = {"Authorization": f"Bearer {ADVISER_KEY}"}


@dataclass
class StreamedResponse:
    """The part of a streamed response that a caller received.

    A response that was resumed holds the events of every attempt.
    """

    status: int | None = None
    text: str = ""
    event_ids: list[int] = field(default_factory=list)
    is_complete: bool = False
    problem: dict | None = None
    retry_after: str | None = None
    daemons: list[str] = field(default_factory=list)

    @property
    def token_count(self) -> int:
        return len(self.text.split())


def unique_prompt(number: int, words: int = 40) -> str:
    """Return a prompt of ``words`` words, none of them shared with another number."""
    return " ".join(f"w{number}x{index}" for index in range(words))


async def stream_completion(
    site: Site,
    daemon: str,
    text: str,
    max_tokens: int,
    received: StreamedResponse | None = None,
    **headers: str,
) -> StreamedResponse:
    """Stream one completion; with ``received``, resume it after its last event."""
    received = received or StreamedResponse()
    received.daemons.append(daemon)
    url = f"{site.url(daemon)}/v1/completions"
    body = {"model": "draft-small", "prompt": text, "max_tokens": max_tokens}
    body["stream"] = True
    headers = {**AUTHORIZATION, **headers}
    if received.event_ids:
        headers["Last-Event-ID"] = str(received.event_ids[-1])
    try:
        async with site.session.post(url, json=body, headers=headers) as response:
            received.status = response.status
            received.retry_after = response.headers.get("Retry-After")
            if response.status != 200:
                received.problem = await response.json(content_type=None)
                return received
            await _read_events(response, received)
    except (aiohttp.ClientError, TimeoutError):
        pass
    return received


async def stream_completion_with_resume(
    site: Site, daemons: list[str], text: str, max_tokens: int, key: str
) -> StreamedResponse:
    """Stream one completion; resume it at the next daemon until it is complete."""
    received = StreamedResponse()
    for attempt in range(40):
        daemon = daemons[attempt % len(daemons)]
        await stream_completion(
            site, daemon, text, max_tokens, received, **{"Idempotency-Key": key}
        )
        if received.is_complete:
            break
        await asyncio.sleep(0.25)
    return received


async def _read_events(
    response: aiohttp.ClientResponse, received: StreamedResponse
) -> None:
    event_id = 0
    async for line in response.content:
        if line.startswith(b"id: "):
            event_id = int(line[4:])
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            received.is_complete = True
            return
        document = json.loads(data)
        if "error" in document:
            received.problem = document["error"]
            return
        received.event_ids.append(event_id)
        received.text += document["choices"][0]["text"]
