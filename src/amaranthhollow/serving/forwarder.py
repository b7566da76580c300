"""Forwards admitted requests to endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthhollow.serving.attempt import Attempt, EndpointCodec
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.event_stream import EventNumbering
from amaranthhollow.serving.request_run import RequestRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from amaranthhollow.decisions.choice import EndpointChooser
    from amaranthhollow.decisions.completion_estimate import CompletionEstimate
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.prompts import PromptShape
    from amaranthhollow.serving.admission import Admitted
    from amaranthhollow.serving.connection_pool import ConnectionPool
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.request import CallerRequest, ResponseInfo
    from amaranthhollow.state.site_state import SiteState

__all__ = ["Forwarder", "ForwardingCallbacks", "RequestLog"]


@dataclass
class RequestLog:
    """Record of one forwarded request, for its log event.

    ``software_versions`` are those of the endpoints that sent events of a stream,
    ``relays`` the addresses of the peers that relayed attempts, ``sent_at`` is the time
    of the last attempt, and ``estimate`` what was expected of it.
    """

    endpoints: list[str] = field(default_factory=list)
    software_versions: list[str] = field(default_factory=list)
    cache_sources: list[str] = field(default_factory=list)
    relays: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    sent_at: float = 0.0
    first_part_at: float | None = None
    estimate: CompletionEstimate | None = None


@dataclass(frozen=True)
class ForwardingCallbacks:
    """Callbacks of the forwarder into the rest of the host.

    ``spend_retry`` takes a retry from the budget of a service, and returns False if
    none is left. ``notify_prompt_read`` gets the prompt tokens that an endpoint had to
    read for a first event, and the seconds it took. ``reading_seconds`` returns how
    long an endpoint of a service takes to read prompt tokens, or None if that is not
    known. ``notify_connection_lost`` gets the time of the first event of the lost
    attempt, if any, and ``is_quarantined`` returns whether a request must not be sent
    again. ``notify_response_head`` gets each
    response of an endpoint, and the time at which the request was sent. ``may_send``
    returns whether an endpoint's own limit allows a request now, ``may_fetch_from``
    whether other endpoints may fetch cached parts from it, and
    ``notify_sending`` gets the endpoint of each attempt. ``rest_seconds`` returns for
    how long all endpoints of a service want no request. ``notify_stream_started`` gets
    the software version of the endpoint whose events are about to be relayed, and
    ``find_stream_version`` returns the one that began the stream which a request takes
    up again, or None if that cannot be known. ``random`` returns a number from 0 to 1.
    """

    spend_retry: Callable[[str], bool]
    notify_response_started: Callable[[Admitted], None]
    notify_prompt_read: Callable[[Admitted, int, float], None]
    reading_seconds: Callable[[str, int], float | None]
    notify_connection_lost: Callable[
        [CallerRequest, Admitted, Endpoint, float | None], None
    ]
    is_quarantined: Callable[[CallerRequest], bool]
    notify_response_head: Callable[[Endpoint, ResponseInfo, float], None]
    may_send: Callable[[Endpoint], bool]
    may_fetch_from: Callable[[Endpoint], bool]
    notify_sending: Callable[[Endpoint], None]
    rest_seconds: Callable[[str], float]
    notify_stream_started: Callable[[CallerRequest, Admitted, str], None]
    find_stream_version: Callable[[CallerRequest, Admitted], Awaitable[str | None]]
    random: Callable[[], float]


class Forwarder:
    """Forwards requests to the endpoints of a site."""

    def __init__(
        self,
        site: SiteState,
        pool: ConnectionPool,
        chooser: EndpointChooser,
        codec: EndpointCodec,
        callbacks: ForwardingCallbacks,
    ) -> None:
        """Forward to the endpoints in ``site`` that ``chooser`` selects."""
        self._site = site
        self._pool = pool
        self._chooser = chooser
        self._codec = codec
        self._callbacks = callbacks
        self._last_activity_by_endpoint: dict[str, float] = {}
        self._numbering_by_service: dict[str, EventNumbering] = {}

    async def forward(
        self,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        prompt: PromptShape | None,
        log: RequestLog,
    ) -> None:
        """Respond to ``exchange`` from an endpoint or with an error; fill ``log``."""
        await RequestRun(self, exchange, request, admitted, prompt, log).forward()

    def choose_endpoint(
        self,
        admitted: Admitted,
        prompt: PromptShape | None,
        tried: list[str],
        software_version: str | None = None,
    ) -> Endpoint | None:
        """Choose an endpoint that is not in ``tried``, or None.

        With ``software_version``, only endpoints of that version are eligible.
        """

        def is_eligible(endpoint: Endpoint) -> bool:
            version = endpoint.listed.software_version
            if software_version is not None and version != software_version:
                return False
            return self._callbacks.may_send(endpoint)

        instant = now()
        usable = self._site.usable_endpoints(admitted.service, instant, is_eligible)
        can_fetch = self._site.shares_cache(admitted.service)
        return self._chooser.choose(usable, prompt, tried, instant, can_fetch=can_fetch)

    def describe_choice(self, service: str, tried: list[str]) -> str:
        """Return why no endpoint of a service can be chosen, for logs."""
        usable = self._site.usable_endpoints(service, now())
        return f"no endpoint: {len(usable)} usable, {len(tried)} tried"

    def cache_source(
        self, admitted: Admitted, chosen: Endpoint, prompt: PromptShape | None
    ) -> str | None:
        """Return the address and port from which ``chosen`` should fetch its prefixes.

        These are the shared parts of the prompt that it is not known to have in its
        cache. None if it lacks few, or the service's endpoints can't fetch them.
        """
        if prompt is None or not self._site.shares_cache(admitted.service):
            return None
        usable = self._site.usable_endpoints(
            admitted.service, now(), self._callbacks.may_fetch_from
        )
        source = self._chooser.cache_source(usable, chosen, prompt)
        return None if source is None else source.address_and_port

    def event_numbering(self, service: str) -> EventNumbering:
        """Return how the events of a service's streams are numbered."""
        return self._numbering_by_service.setdefault(service, EventNumbering())

    def new_attempt(self, endpoint: Endpoint) -> Attempt:
        """Create an attempt, which is not sent yet."""
        return Attempt(endpoint, self._pool, self._codec)

    def record_activity(self, endpoint: Endpoint) -> None:
        """Record that an endpoint sent data to this host."""
        self._last_activity_by_endpoint[endpoint.host] = now()

    def is_inactive_since(self, endpoint: Endpoint, instant: float) -> bool:
        """Return whether an endpoint sent no data to this host since ``instant``."""
        return self._last_activity_by_endpoint.get(endpoint.host, 0.0) < instant

    def record_attempt_success(self, endpoint: Endpoint) -> None:
        """Record a successful attempt."""
        self._chooser.record_success(endpoint.host, now())
        self._site.endpoints.record_success(endpoint.host)

    def record_attempt_failure(
        self, endpoint: Endpoint, *, is_unreachable: bool
    ) -> None:
        """Record a failed attempt."""
        self._chooser.record_failure(endpoint.host, now())
        if is_unreachable:
            self._site.endpoints.record_failure(endpoint.host, now())

    @property
    def chooser(self) -> EndpointChooser:
        """The selection of endpoints by load."""
        return self._chooser

    @property
    def callbacks(self) -> ForwardingCallbacks:
        """The callbacks into the rest of the host."""
        return self._callbacks
