"""Assembles one answer from the attempts at producing it.

Every attempt has a number. A chunk counts only if it belongs to the newest
attempt and carries the next position; chunks that come early wait, and chunks of
older attempts, or of positions already emitted, are dropped.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Chunk", "EmittedToken", "StreamAssembler", "FinishReason"]

MAX_EARLY_CHUNKS = 256


class FinishReason(Enum):
    """Why a model stopped."""

    STOP = "stop"
    LENGTH = "length"
    CONTENT_FILTER = "content_filter"
    TOOL_CALLS = "tool_calls"


@dataclass(frozen=True)
class Chunk:
    """One token as an endpoint sent it; ``position`` counts from the answer's start."""

    attempt: int
    position: int
    text: str
    finish_reason: FinishReason | None = None


@dataclass(frozen=True)
class EmittedToken:
    """One token for the caller; ``event_id`` numbers them from 1."""

    event_id: int
    text: str
    finish_reason: FinishReason | None = None


@dataclass
class StreamAssembler:
    """The emitted part of an answer, and chunks that came early."""

    attempt: int = 0
    emitted: list[EmittedToken] = field(default_factory=list)
    _early_by_position: dict[int, Chunk] = field(default_factory=dict)

    @property
    def position(self) -> int:
        """The position of the next token."""
        return len(self.emitted)

    @property
    def is_complete(self) -> bool:
        """Tell whether the last token was emitted."""
        return bool(self.emitted) and self.emitted[-1].finish_reason is not None

    @property
    def text(self) -> str:
        """The text emitted so far."""
        return "".join(event.text for event in self.emitted)

    def begin_attempt(self) -> int:
        """Start a new attempt; whatever older ones still send is dropped."""
        self.attempt += 1
        self._early_by_position.clear()
        return self.attempt

    def accept(self, chunk: Chunk) -> list[EmittedToken]:
        """Take in a chunk and return what can now be sent to the caller."""
        is_current = chunk.attempt == self.attempt
        if not is_current or chunk.position < self.position or self.is_complete:
            return []
        if len(self._early_by_position) < MAX_EARLY_CHUNKS:
            self._early_by_position.setdefault(chunk.position, chunk)
        ready = []
        while not self.is_complete and self.position in self._early_by_position:
            following = self._early_by_position.pop(self.position)
            event = EmittedToken(
                self.position + 1, following.text, following.finish_reason
            )
            self.emitted.append(event)
            ready.append(event)
        return ready
