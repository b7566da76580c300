"""Callers that take their streams up again at other hosts, and the rules for them."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.entry.entry_site import API_KEY, CALLER_PORT
from tests.soak.endpoint import EVENT_COUNT, parse_events

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

__all__ = ["StreamCaller", "StreamTry", "find_lost_share", "find_mixed_streams"]

MAX_TRIES = 3
TRY_TIMEOUT_SECONDS = 4.0
LEAVE_PROBABILITY = 0.5
# What the operators accept: more than two streams of two versions are too many.
MAX_MIXED_STREAMS = 2
MIN_STREAMS_TAKEN_UP = 12
MIN_SHARE_RATIO = 0.5


@dataclass(frozen=True)
class StreamTry:
    """One try of a caller at one host; it goes on if an event arrives."""

    stream: str
    request_id: str
    host: str
    sent_at: float
    takes_up: bool
    status: int
    events: tuple[tuple[int, str], ...]

    @property
    def goes_on(self) -> bool:
        return bool(self.events)


@dataclass
class StreamCaller:
    """Begins streams at random hosts, and takes those up that were cut.

    It leaves some streams of its own accord, and takes them up elsewhere, too.
    """

    name: str
    addresses: dict[str, str]
    random: Random
    tries: list[StreamTry] = field(default_factory=list)
    _streams: int = 0

    async def run(self, stopped: asyncio.Event) -> None:
        while not stopped.is_set():
            await asyncio.sleep(self.random.uniform(0.0, 0.1))
            self._streams += 1
            await self._run_stream(f"{self.name}-{self._streams}")

    async def _run_stream(self, stream: str) -> None:
        first_id, last_event = "", 0
        for number in range(MAX_TRIES):
            request_id = f"{stream}-{number}"
            host = self.random.choice(list(self.addresses))
            leaves = not number and self.random.random() < LEAVE_PROBABILITY
            leave_after = self.random.randint(1, EVENT_COUNT - 1) if leaves else None
            sent_at = time.monotonic()
            status, events = await self._request(
                host, stream, request_id, first_id, last_event, leave_after
            )
            takes_up = bool(first_id)
            self.tries.append(
                StreamTry(stream, request_id, host, sent_at, takes_up, status, events)
            )
            if events and not first_id:
                first_id = request_id
            last_event = events[-1][0] if events else last_event
            if last_event == EVENT_COUNT:
                return

    async def _request(self, host, stream, request_id, first_id, last, leave_after):
        """Return the status and the events that arrived before the end."""
        resumption = f"Resumes: {first_id}\r\nLast-Event-Id: {last}\r\n"
        head = (
            f"GET /stream/{stream} HTTP/1.1\r\nHost: app.example\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\n"
            f"Authorization: Bearer {API_KEY}\r\nConnection: close\r\n"
            f"{resumption if first_id else ''}\r\n"
        )
        data, writer = b"", None
        try:
            async with asyncio.timeout(TRY_TIMEOUT_SECONDS):
                address = self.addresses[host]
                reader, writer = await asyncio.open_connection(address, CALLER_PORT)
                writer.write(head.encode())
                while chunk := await reader.read(65536):
                    data += chunk
                    if leave_after and len(parse_events(data)) >= leave_after:
                        break
        except (OSError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        status = int(data.split()[1]) if data.startswith(b"HTTP/1.1 ") else 0
        return status, tuple(parse_events(data))


def find_mixed_streams(tries: list[StreamTry]) -> list[str]:
    """Return the streams with events of two versions, if they are too many.

    Also every stream with a gap or a repeated event.
    """
    events_by_stream: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for found in tries:
        events_by_stream[found.stream] += found.events
    mixed, broken = [], []
    for stream, events in events_by_stream.items():
        if len({version for _, version in events}) > 1:
            mixed.append(f"{stream} holds {events}")
        if [number for number, _ in events] != list(range(1, len(events) + 1)):
            broken.append(f"{stream} has events {[n for n, _ in events]}")
    return broken + (mixed if len(mixed) > MAX_MIXED_STREAMS else [])


def find_lost_share(
    tries: list[StreamTry], is_in_touch: Callable[[str, float], bool]
) -> list[str]:
    """Return a violation if too few of the streams that are taken up go on.

    Counted are hosts in touch, and the share of new streams that begin there.
    """
    counted = [found for found in tries if is_in_touch(found.host, found.sent_at)]
    taken_up = [found.goes_on for found in counted if found.takes_up]
    new = [found.goes_on for found in counted if not found.takes_up]
    if len(taken_up) < MIN_STREAMS_TAKEN_UP or not new:
        return []
    share, new_share = sum(taken_up) / len(taken_up), sum(new) / len(new)
    if share >= MIN_SHARE_RATIO * new_share:
        return []
    return [f"{share:.2f} of {len(taken_up)} streams go on, {new_share:.2f} begin"]
