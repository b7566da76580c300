"""Callers of model requests, for tests."""

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
    """What a caller received of one streamed answer."""

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
    """Return a prompt that no other number has."""
    return " ".join(f"w{number}x{index}" for index in range(words))


async def stream_completion(
    site: Site,
    daemon: str,
    text: str,
    max_tokens: int,
    answer: StreamedResponse | None = None,
    **headers: str,
) -> StreamedResponse:
    """Stream one completion; with ``answer``, fetch the rest of it."""
    answer = answer or StreamedResponse()
    answer.daemons.append(daemon)
    url = f"{site.url(daemon)}/v1/completions"
    body = {"model": "draft-small", "prompt": text, "max_tokens": max_tokens}
    body["stream"] = True
    headers = {**AUTHORIZATION, **headers}
    if answer.event_ids:
        headers["Last-Event-ID"] = str(answer.event_ids[-1])
    try:
        async with site.session.post(url, json=body, headers=headers) as response:
            answer.status = response.status
            answer.retry_after = response.headers.get("Retry-After")
            if response.status != 200:
                answer.problem = await response.json(content_type=None)
                return answer
            await _read_events(response, answer)
    except (aiohttp.ClientError, TimeoutError):
        pass
    return answer


async def stream_completion_with_resume(
    site: Site, daemons: list[str], text: str, max_tokens: int, key: str
) -> StreamedResponse:
    """Stream one completion, and fetch the rest elsewhere if it breaks off."""
    answer = StreamedResponse()
    for attempt in range(40):
        daemon = daemons[attempt % len(daemons)]
        await stream_completion(
            site, daemon, text, max_tokens, answer, **{"Idempotency-Key": key}
        )
        if answer.is_complete:
            break
        await asyncio.sleep(0.25)
    return answer


async def _read_events(
    response: aiohttp.ClientResponse, answer: StreamedResponse
) -> None:
    event_id = 0
    async for line in response.content:
        if line.startswith(b"id: "):
            event_id = int(line[4:])
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            answer.is_complete = True
            return
        document = json.loads(data)
        if "error" in document:
            answer.problem = document["error"]
            return
        answer.event_ids.append(event_id)
        answer.text += document["choices"][0]["text"]
