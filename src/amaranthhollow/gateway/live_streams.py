"""Answers that are being streamed by this daemon, and that callers can resume."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from amaranthhollow.decisions.streams import StreamAssembler

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from amaranthhollow.decisions.streams import Chunk, EmittedToken
    from amaranthhollow.gateway.problems import Problem

__all__ = ["LiveStream", "StreamRegistry"]

RESUME_WINDOW_SECONDS = 30.0


class LiveStream:
    """An answer that is being produced: its events so far, and its readers.

    A stream that was received from another daemon has no producer until one is
    attached.
    """

    def __init__(self, prompt_tokens: int = 0) -> None:
        """Create a stream without events and without a producer."""
        self.assembler = StreamAssembler()
        self.prompt_tokens = prompt_tokens
        self.problem: Problem | None = None
        self.readers = 0
        self.has_producer = False
        self.is_resumable = True
        self._cancel_producer: Callable[[], object] | None = None
        self._update_events: set[asyncio.Event] = set()

    @property
    def is_complete(self) -> bool:
        """Whether the last event of the answer was added."""
        return self.assembler.is_complete

    @property
    def is_ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.is_complete or self.problem is not None

    @property
    def is_in_progress(self) -> bool:
        """Whether a producer is attached that may add events."""
        return self.has_producer and not self.is_ended

    def attach_producer(
        self, cancel_producer: Callable[[], object] | None = None
    ) -> None:
        """Attach a producer; ``cancel_producer`` cancels it."""
        self.has_producer = True
        self._cancel_producer = cancel_producer

    def accept(self, chunk: Chunk) -> None:
        """Add a chunk of an attempt; chunks without a producer are dropped."""
        if self.has_producer and self.assembler.accept(chunk):
            self._notify()

    def replace_events(self, events: list[EmittedToken]) -> None:
        """Replace the events by those that another daemon emitted."""
        self.assembler.emitted[:] = events
        self._notify()

    def end(self, problem: Problem | None = None) -> None:
        """End the stream, with ``problem`` unless the answer is complete."""
        if not self.is_complete:
            self.problem = problem
        self.detach_producer()

    def detach_producer(self) -> None:
        """Detach the producer; the emitted events remain for another one."""
        self.has_producer = False
        self._notify()

    def interrupt(self) -> None:
        """Cancel the producer, so that another daemon can resume the stream."""
        self.detach_producer()
        if self._cancel_producer is not None:
            self._cancel_producer()

    async def wait_for_events_after(self, position: int) -> None:
        """Wait for an event after ``position``, or until no more can be added."""
        updated = asyncio.Event()
        self._update_events.add(updated)
        try:
            while self.assembler.position <= position and self.is_in_progress:
                updated.clear()
                await updated.wait()
        finally:
            self._update_events.discard(updated)

    async def follow(self, after_id: int) -> AsyncIterator[EmittedToken]:
        """Yield the events after ``after_id`` as they are added.

        When the last reader leaves a stream that cannot be resumed, its producer is
        cancelled.
        """
        self.readers += 1
        position = after_id
        try:
            while True:
                await self.wait_for_events_after(position)
                events = self.assembler.emitted[position:]
                if not events:
                    return
                for event in events:
                    yield event
                position += len(events)
        finally:
            self.readers -= 1
            if not self.readers and self.is_in_progress and not self.is_resumable:
                self.interrupt()

    def _notify(self) -> None:
        for updated in self._update_events:
            updated.set()


class StreamRegistry:
    """The streams of requests with an idempotency key, by the key's digest."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._streams_by_key: dict[bytes, LiveStream] = {}
        self._expiry_by_key: dict[bytes, float] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams_by_key)

    def items(self) -> list[tuple[bytes, LiveStream]]:
        """Return the streams with their keys."""
        return list(self._streams_by_key.items())

    def get(self, key_digest: bytes) -> LiveStream | None:
        """Return the stream of a key, or None."""
        return self._streams_by_key.get(key_digest)

    def put(self, key_digest: bytes, stream: LiveStream) -> None:
        """Store the stream of a key, without an expiry."""
        self._streams_by_key[key_digest] = stream
        self._expiry_by_key.pop(key_digest, None)

    def expire(self, now: float) -> None:
        """Remove streams that have not been in progress for the resume window."""
        for key, stream in list(self._streams_by_key.items()):
            if stream.is_in_progress:
                continue
            if self._expiry_by_key.setdefault(key, now + RESUME_WINDOW_SECONDS) <= now:
                del self._streams_by_key[key], self._expiry_by_key[key]
