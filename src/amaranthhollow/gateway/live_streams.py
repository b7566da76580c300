"""Streams in production at this daemon, which callers may leave and rejoin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from amaranthhollow.decisions.streams import StreamAssembler

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from amaranthhollow.decisions.streams import Chunk, EmittedToken
    from amaranthhollow.gateway.problems import Problem

__all__ = ["LiveStream", "StreamRegistry"]

REJOIN_SECONDS = 30.0


class LiveStream:
    """One answer in production: its events so far, and who waits for more.

    A stream without a producer is one that another daemon left behind; it can be
    given a producer again.
    """

    def __init__(self, prompt_tokens: int = 0) -> None:
        """Start without events and without a producer."""
        self.assembler = StreamAssembler()
        self.prompt_tokens = prompt_tokens
        self.problem: Problem | None = None
        self.readers = 0
        self.has_producer = False
        self.is_rejoinable = True
        self._cancel_producer: Callable[[], object] | None = None
        self._changes: set[asyncio.Event] = set()

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole answer is there."""
        return self.assembler.is_complete

    @property
    def is_ended(self) -> bool:
        """Tell whether nothing follows: the answer is whole or has failed."""
        return self.is_complete or self.problem is not None

    @property
    def is_in_progress(self) -> bool:
        """Tell whether more events are to come."""
        return self.has_producer and not self.is_ended

    def begin(self, cancel_producer: Callable[[], object] | None = None) -> None:
        """Note that a producer adds events from now on, and how to cancel it."""
        self.has_producer = True
        self._cancel_producer = cancel_producer

    def accept(self, chunk: Chunk) -> None:
        """Take in a chunk of an attempt."""
        if self.has_producer and self.assembler.accept(chunk):
            self._notify()

    def replace_events(self, events: list[EmittedToken]) -> None:
        """Take over the events that another daemon emitted."""
        self.assembler.emitted[:] = events
        self._notify()

    def end(self, problem: Problem | None = None) -> None:
        """End production, with a problem unless the answer is complete."""
        if not self.is_complete:
            self.problem = problem
        self.detach()

    def detach(self) -> None:
        """Stop production here; what was emitted stays for another producer."""
        self.has_producer = False
        self._notify()

    def interrupt(self) -> None:
        """Cancel production, so that another daemon can go on from here."""
        self.detach()
        if self._cancel_producer is not None:
            self._cancel_producer()

    async def wait_until(self, position: int) -> None:
        """Wait until there are more than ``position`` events, or none follow."""
        change = asyncio.Event()
        self._changes.add(change)
        try:
            while self.assembler.position <= position and self.is_in_progress:
                change.clear()
                await change.wait()
        finally:
            self._changes.discard(change)

    async def follow(self, after_id: int) -> AsyncIterator[EmittedToken]:
        """Yield the events after ``after_id`` as they come."""
        self.readers += 1
        position = after_id
        try:
            while True:
                await self.wait_until(position)
                events = self.assembler.emitted[position:]
                if not events:
                    return
                for event in events:
                    yield event
                position += len(events)
        finally:
            self.readers -= 1
            if not self.readers and self.is_in_progress and not self.is_rejoinable:
                self.interrupt()

    def _notify(self) -> None:
        for change in self._changes:
            change.set()


class StreamRegistry:
    """The streams of requests with an idempotency key, by the key's digest."""

    def __init__(self) -> None:
        """Start without streams."""
        self._streams_by_key: dict[bytes, LiveStream] = {}
        self._expiry_by_key: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Count the streams."""
        return len(self._streams_by_key)

    def items(self) -> list[tuple[bytes, LiveStream]]:
        """Return the streams with their keys."""
        return list(self._streams_by_key.items())

    def get(self, key_digest: bytes) -> LiveStream | None:
        """Return the stream of a key."""
        return self._streams_by_key.get(key_digest)

    def put(self, key_digest: bytes, stream: LiveStream) -> None:
        """Hold the stream of a key."""
        self._streams_by_key[key_digest] = stream
        self._expiry_by_key.pop(key_digest, None)

    def expire(self, now: float) -> None:
        """Forget streams some time after the last event was added."""
        for key, stream in list(self._streams_by_key.items()):
            if stream.is_in_progress:
                continue
            if self._expiry_by_key.setdefault(key, now + REJOIN_SECONDS) <= now:
                del self._streams_by_key[key], self._expiry_by_key[key]
