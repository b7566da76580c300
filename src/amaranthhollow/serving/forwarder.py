"""Forwards the admitted requests of one host to endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthhollow.serving.attempt import Attempt, EndpointCodec
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.request_run import RequestRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.decisions.choice import EndpointChooser
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.prompts import PromptShape
    from amaranthhollow.serving.admission import Admitted
    from amaranthhollow.serving.connection_pool import ConnectionPool
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.request import CallerRequest
    from amaranthhollow.state.site_state import SiteState

__all__ = ["Forwarder", "ForwardingPolicy", "RequestLog"]


@dataclass
class RequestLog:
    """What happened to one request, for its decision log line."""

    endpoints: list[str] = field(default_factory=list)
    cache_sources: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    first_part_at: float | None = None


@dataclass(frozen=True)
class ForwardingPolicy:
    """What the forwarder asks and tells the rest of the host."""

    take_repeat: Callable[[str], bool]
    count_begun: Callable[[Admitted], None]
    connection_lost: Callable[[CallerRequest, Admitted, Endpoint], None]
    random: Callable[[], float]


class Forwarder:
    """Forwards requests of one host."""

    def __init__(
        self,
        site: SiteState,
        pool: ConnectionPool,
        chooser: EndpointChooser,
        codec: EndpointCodec,
        policy: ForwardingPolicy,
    ) -> None:
        """Forward to the endpoints in ``site``."""
        self._site = site
        self._pool = pool
        self._chooser = chooser
        self._codec = codec
        self._policy = policy
        self._heard_at_by_endpoint: dict[str, float] = {}

    async def forward(
        self,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        prompt: PromptShape | None,
        log: RequestLog,
    ) -> None:
        """Answer ``exchange`` by an endpoint, or say why not; fills in ``log``."""
        await RequestRun(self, exchange, request, admitted, prompt, log).forward()

    def choose(
        self, admitted: Admitted, prompt: PromptShape | None, tried: list[str]
    ) -> Endpoint | None:
        """Choose the endpoint of the next attempt."""
        instant = now()
        usable = self._site.usable_endpoints(admitted.service, instant)
        can_fetch = self._site.shares_cache(admitted.service)
        return self._chooser.choose(usable, prompt, tried, instant, can_fetch=can_fetch)

    def cache_source(
        self, admitted: Admitted, chosen: Endpoint, prompt: PromptShape | None
    ) -> str | None:
        """Return the address from which ``chosen`` is to fetch shared parts."""
        if prompt is None or not self._site.shares_cache(admitted.service):
            return None
        usable = self._site.usable_endpoints(admitted.service, now())
        source = self._chooser.cache_source(usable, chosen, prompt)
        return None if source is None else source.address_and_port

    def attempt_at(self, endpoint: Endpoint) -> Attempt:
        """Return an attempt that is not sent yet."""
        return Attempt(endpoint, self._pool, self._codec)

    def heard_from(self, endpoint: Endpoint) -> None:
        """Note that an endpoint sent something."""
        self._heard_at_by_endpoint[endpoint.host] = now()

    def is_silent_since(self, endpoint: Endpoint, instant: float) -> bool:
        """Tell whether an endpoint sent nothing to this host since ``instant``."""
        return self._heard_at_by_endpoint.get(endpoint.host, 0.0) < instant

    def note_success(self, endpoint: Endpoint) -> None:
        """Note an attempt that went well."""
        self._chooser.record_success(endpoint.host, now())
        self._site.endpoints.record_success(endpoint.host)

    def note_failure(self, endpoint: Endpoint, *, is_unreachable: bool) -> None:
        """Note an attempt that its endpoint failed."""
        self._chooser.record_failure(endpoint.host, now())
        if is_unreachable:
            self._site.endpoints.record_failure(endpoint.host, now())

    @property
    def chooser(self) -> EndpointChooser:
        """What is known of the endpoints' loads."""
        return self._chooser

    @property
    def policy(self) -> ForwardingPolicy:
        """What is asked of the rest of the host."""
        return self._policy
