"""Assembles one streamed response from the attempts that produce it.

Attempts are numbered. A chunk is emitted if it belongs to the latest attempt and has
the next position. Chunks that arrive early are buffered; chunks of older attempts or
with positions already emitted are dropped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Chunk", "EmittedToken", "StreamAssembler", "FinishReason"]

MAX_BUFFERED_CHUNKS = 256


class FinishReason(Enum):
    """The reason for which a model stopped generating."""

    STOP = "stop"
    LENGTH = "length"
    CONTENT_FILTER = "content_filter"
    TOOL_CALLS = "tool_calls"


@dataclass(frozen=True)
class Chunk:
    """One token as sent by an endpoint; the response's first token is position 0."""

    attempt: int
    position: int
    text: str
    finish_reason: FinishReason | None = None


@dataclass(frozen=True)
class EmittedToken:
    """One token as sent to the caller; ``event_id`` counts from 1."""

    event_id: int
    text: str
    finish_reason: FinishReason | None = None


@dataclass
class StreamAssembler:
    """The emitted part of a response, and the chunks buffered after it."""

    attempt: int = 0
    emitted: list[EmittedToken] = field(default_factory=list)
    _buffered_by_position: dict[int, Chunk] = field(default_factory=dict)

    @property
    def position(self) -> int:
        """The position of the next token."""
        return len(self.emitted)

    @property
    def is_complete(self) -> bool:
        """Whether the last token of the response was emitted."""
        return bool(self.emitted) and self.emitted[-1].finish_reason is not None

    @property
    def text(self) -> str:
        """The text of all emitted tokens."""
        return "".join(event.text for event in self.emitted)

    def begin_attempt(self) -> int:
        """Start a new attempt and return its number; drop chunks of older ones."""
        self.attempt += 1
        self._buffered_by_position.clear()
        return self.attempt

    def accept(self, chunk: Chunk) -> list[EmittedToken]:
        """Add a chunk and return the tokens that can now be sent to the caller."""
        is_current = chunk.attempt == self.attempt
        if not is_current or chunk.position < self.position or self.is_complete:
            return []
        if len(self._buffered_by_position) < MAX_BUFFERED_CHUNKS:
            self._buffered_by_position.setdefault(chunk.position, chunk)
        ready = []
        while not self.is_complete and self.position in self._buffered_by_position:
            following = self._buffered_by_position.pop(self.position)
            event = EmittedToken(
                self.position + 1, following.text, following.finish_reason
            )
            self.emitted.append(event)
            ready.append(event)
        return ready
