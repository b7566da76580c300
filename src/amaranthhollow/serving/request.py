"""A caller's request and an endpoint's answer, free of any wire format's names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.decisions.prompts import PromptPart
    from amaranthhollow.serving.messages import Header, RequestHead, ResponseHead

__all__ = ["ResponseInfo", "CallerRequest", "Dispatch"]


@dataclass(frozen=True)
class CallerRequest:
    """One attempt of a client.

    ``deadline`` is the instant until which the client waits, if it says so.
    ``forwarded_headers`` are the headers that go to the endpoint as they came.
    """

    request_id: str
    hostname: str
    head: RequestHead
    forwarded_headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    deadline: float | None
    api_key: str | None
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: str | None = None

    @property
    def path(self) -> str:
        """The path that selects the route."""
        return self.head.path.decode("latin-1")


@dataclass(frozen=True)
class Dispatch:
    """What an endpoint is told besides the caller's own request.

    ``seconds_left`` is how long it may work. ``last_event_id`` is the event after
    which a stream goes on. ``cache_source`` is the address, with its port, of another
    endpoint that is expected to hold shared parts of the prompt.
    """

    endpoint_id: str
    seconds_left: float
    priority: int
    workspace: str | None = None
    last_event_id: str | None = None
    cache_source: str | None = None


@dataclass(frozen=True)
class ResponseInfo:
    """What the head of an endpoint's answer says.

    ``did_not_run`` is the endpoint's promise that it has not begun the request.
    ``idle_timeout_seconds`` is how long it keeps the connection, if it says so.
    """

    head: ResponseHead
    forwarded_headers: tuple[Header, ...]
    did_not_run: bool
    is_signed: bool
    is_event_stream: bool
    idle_timeout_seconds: float | None = None
