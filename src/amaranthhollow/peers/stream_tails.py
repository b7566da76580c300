"""Stream tails, and their conversion to and from the Cap'n Proto schema."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from amaranthhollow.decisions.streams import EmittedToken, FinishReason

__all__ = ["StreamTail", "read_tail", "tail_fields"]


@dataclass(frozen=True)
class StreamTail:
    """Last events of a stream, and whether more are being produced."""

    prompt_tokens: int
    is_produced: bool
    events: list[EmittedToken]


def read_tail(message: Any) -> StreamTail:
    """Read a ``StreamTail`` of the schema."""
    return StreamTail(
        prompt_tokens=message.promptTokens,
        is_produced=message.isProduced,
        events=[
            EmittedToken(
                event.id, event.text, FinishReason(event.end) if event.end else None
            )
            for event in message.events
        ],
    )


def tail_fields(tail: StreamTail | None) -> dict[str, Any]:
    """Return the fields of the schema's ``StreamTail``; None means not found."""
    if tail is None:
        return {"found": False}
    return {
        "found": True,
        "promptTokens": tail.prompt_tokens,
        "isProduced": tail.is_produced,
        "events": [
            {
                "id": event.event_id,
                "text": event.text,
                "end": event.finish_reason.value if event.finish_reason else "",
            }
            for event in tail.events
        ],
    }
