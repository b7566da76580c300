"""Streams in production at this daemon, which callers may leave and rejoin."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from amaranthhollow.decisions.streams import StreamAssembler

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from amaranthhollow.decisions.streams import Chunk, Emitted
    from amaranthhollow.gateway.problems import Problem

__all__ = ["LiveStream", "StreamRegistry"]

REJOIN_SECONDS = 30.0


class LiveStream:
    """One answer in production: its events so far, and who waits for more."""

    def __init__(self, prompt_tokens: int = 0) -> None:
        """Start without events."""
        self.assembler = StreamAssembler()
        self.prompt_tokens = prompt_tokens
        self.problem: Problem | None = None
        self.readers = 0
        self.has_producer = False
        self.on_abandoned: Callable[[], object] | None = None
        self._is_ended = False
        self._changes: set[asyncio.Event] = set()

    @property
    def is_ended(self) -> bool:
        """Tell whether no more events follow."""
        return self._is_ended or self.assembler.is_complete

    def accept(self, chunk: Chunk) -> None:
        """Take in a chunk of an attempt."""
        if self.assembler.accept(chunk):
            self._notify()

    def adopt(self, events: list[Emitted]) -> None:
        """Take over the events that another daemon emitted."""
        self.assembler.emitted[:] = events
        self._notify()

    def end(self, problem: Problem | None = None) -> None:
        """End the stream, with a problem unless the answer is complete."""
        if not self.assembler.is_complete:
            self.problem = problem
        self._is_ended = True
        self._notify()

    async def wait_until(self, position: int) -> None:
        """Wait until there are more than ``position`` events, or no more follow."""
        change = asyncio.Event()
        self._changes.add(change)
        try:
            while self.assembler.position <= position and not self.is_ended:
                change.clear()
                await change.wait()
        finally:
            self._changes.discard(change)

    async def follow(self, after_id: int) -> AsyncIterator[Emitted]:
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
            if not self.readers and not self.is_ended and self.on_abandoned:
                self.on_abandoned()

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
        """Forget streams some time after they ended."""
        for key, stream in list(self._streams_by_key.items()):
            if not stream.is_ended:
                continue
            if self._expiry_by_key.setdefault(key, now + REJOIN_SECONDS) <= now:
                del self._streams_by_key[key], self._expiry_by_key[key]
