"""Answers in the format of the OpenAI API: documents, chunks and events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from uuid import uuid4

import msgspec
from falcon.asgi import SSEvent
from msgspec import UNSET, UnsetType

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from amaranthhollow.decisions.streams import EmittedToken
    from amaranthhollow.gateway.live_streams import LiveStream
    from amaranthhollow.gateway.requests import ModelRequest

__all__ = ["AnswerFormat", "ModelEntry", "ModelList", "new_answer_format"]


class Message(msgspec.Struct):
    """Text of the assistant: one part of it in a chunk, else all of it."""

    content: str
    role: str | UnsetType = UNSET


class Choice(msgspec.Struct):
    """The only choice of an answer; which text fields are set depends on the kind."""

    index: int
    finish_reason: str | None
    text: str | UnsetType = UNSET
    delta: Message | UnsetType = UNSET
    message: Message | UnsetType = UNSET


class Usage(msgspec.Struct):
    """Token counts of one answer."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Document(msgspec.Struct):
    """A chunk or a complete answer."""

    id: str
    object: str
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | UnsetType = UNSET


class ModelEntry(msgspec.Struct):
    """One model in the list of models."""

    id: str
    owned_by: str
    object: str = "model"
    created: int = 0


class ModelList(msgspec.Struct):
    """The models that callers may request."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


class StreamFailure(msgspec.Struct):
    """The last event of a stream that failed."""

    error: dict[str, str | int]


@dataclass(frozen=True)
class AnswerFormat:
    """Formats one answer; ``created`` is in seconds since the Unix epoch."""

    answer_id: str
    created: int
    request: ModelRequest

    def complete_document(self, stream: LiveStream) -> bytes:
        """Return the complete answer as one JSON document."""
        text = stream.assembler.text
        choice = Choice(0, stream.assembler.emitted[-1].finish_reason.value)
        if self.request.is_chat:
            choice.message = Message(text, "assistant")
        else:
            choice.text = text
        kind = "chat.completion" if self.request.is_chat else "text_completion"
        return msgspec.json.encode(self._document(kind, (choice,), _usage(stream)))

    async def events(self, stream: LiveStream, after_id: int) -> AsyncIterator[SSEvent]:
        """Yield the events after ``after_id`` as server-sent events, each with an id.

        If the stream loses its producer, the response ends without ``[DONE]``, and
        the caller can resume the answer at another daemon.
        """
        last_id = after_id
        async for event in stream.follow(after_id):
            last_id = event.event_id
            yield _event(self._chunk((self._choice(event),)), last_id)
        if stream.problem is not None:
            yield _event(StreamFailure(stream.problem.document()), last_id)
            return
        if not stream.is_complete:
            return
        if self.request.includes_usage:
            last_id += 1
            yield _event(self._chunk((), _usage(stream)), last_id)
        yield SSEvent(data=b"[DONE]", event_id=str(last_id + 1))

    def _choice(self, event: EmittedToken) -> Choice:
        choice = Choice(0, event.finish_reason.value if event.finish_reason else None)
        if not self.request.is_chat:
            choice.text = event.text
        elif event.event_id == 1:
            choice.delta = Message(event.text, "assistant")
        else:
            choice.delta = Message(event.text)
        return choice

    def _chunk(
        self, choices: tuple[Choice, ...], usage: Usage | UnsetType = UNSET
    ) -> Document:
        kind = "chat.completion.chunk" if self.request.is_chat else "text_completion"
        return self._document(kind, choices, usage)

    def _document(
        self, kind: str, choices: tuple[Choice, ...], usage: Usage | UnsetType
    ) -> Document:
        model = self.request.model
        return Document(self.answer_id, kind, self.created, model, choices, usage)


def new_answer_format(request: ModelRequest, now: float) -> AnswerFormat:
    """Return the format of an answer to ``request``, with a new id."""
    prefix = "chatcmpl" if request.is_chat else "cmpl"
    return AnswerFormat(f"{prefix}-{uuid4().hex}", int(now), request)


def _event(document: Document | StreamFailure, event_id: int) -> SSEvent:
    return SSEvent(data=msgspec.json.encode(document), event_id=str(event_id))


def _usage(stream: LiveStream) -> Usage:
    prompt_tokens = stream.prompt_tokens
    completion_tokens = stream.assembler.position
    total_tokens = prompt_tokens + completion_tokens
    return Usage(prompt_tokens, completion_tokens, total_tokens)
