"""Requests and responses, independent of the platform's header names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoint_load import LoadStatement
    from amaranthhollow.decisions.prompts import PromptPart
    from amaranthhollow.serving.messages import Header, RequestHead, ResponseHead

__all__ = ["ResponseInfo", "CallerRequest", "Dispatch"]


@dataclass(frozen=True)
class CallerRequest:
    """One request of a caller.

    ``deadline`` is the time until which the caller waits, if it states one.
    ``forwarded_headers`` are the headers that are sent to the endpoint unchanged.
    ``resumed_id`` is the identifier of the request that began the stream of which this
    one asks for the events after ``last_event_id``.
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
    resumed_id: str | None = None

    @property
    def path(self) -> str:
        """The path that selects the route."""
        return self.head.path.decode("latin-1")


@dataclass(frozen=True)
class Dispatch:
    """What is sent to an endpoint in addition to the request of the caller.

    ``seconds_left`` is the time limit of the endpoint. ``last_event_id`` is the event
    after which a stream resumes. ``cache_source`` is the address and port of another
    endpoint that is expected to have shared parts of the prompt in its cache.
    """

    endpoint_id: str
    seconds_left: float
    priority: int
    workspace: str | None = None
    last_event_id: str | None = None
    cache_source: str | None = None


@dataclass(frozen=True)
class ResponseInfo:
    """The decoded head of an endpoint's response.

    ``did_not_run`` is whether the endpoint states that it has not started the request.
    ``idle_timeout_seconds`` is how long it keeps an idle connection, if it states so.
    ``rate_limit`` is the number of requests per second that it accepts from all hosts
    together, or None if it states no limit. ``tolerated_rejections`` is the number of
    requests that it can reject in a second without a failure, or None if any. An
    endpoint that ``is_leaving`` ends soon; one that states ``rest_seconds`` wants no
    request of this host for so long. ``load_statement`` is what it states of its load,
    None also if it ``has_load_header`` that cannot be used.
    """

    head: ResponseHead
    forwarded_headers: tuple[Header, ...]
    did_not_run: bool
    is_signed: bool
    is_event_stream: bool
    idle_timeout_seconds: float | None = None
    rate_limit: float | None = None
    tolerated_rejections: float | None = None
    is_leaving: bool = False
    rest_seconds: float | None = None
    load_statement: LoadStatement | None = None
    has_load_header: bool = False
