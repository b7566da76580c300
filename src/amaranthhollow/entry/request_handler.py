"""Answers callers: decode, admit, forward, and log the decision."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.prompts import PromptShape
from amaranthhollow.platform.callers import decode_request
from amaranthhollow.serving.admission import Admitted, Refused
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.forwarder import ForwardingPolicy, RequestLog

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.admission import Admission
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.forwarder import Forwarder
    from amaranthhollow.serving.request import CallerRequest

__all__ = ["RequestHandler", "forwarding_policy"]

BAD_REQUEST = 400
UNAVAILABLE = 503
SUCCESS = range(200, 300)
ANSWERED = "answered"
# The request would crash the endpoint again; operators have to look into it first.
QUARANTINE_RETRY_SECONDS = 60.0
# A client that comes back finds another host, or this one when it is done.
DRAIN_RETRY_SECONDS = 0.1

log = logbook.Logger("requests")


def forwarding_policy(host: Host) -> ForwardingPolicy:
    """Return what the forwarder asks and tells ``host``."""

    def take_repeat(service: str) -> bool:
        known = host.host_counts.known
        has_room = host.budget(service).try_spend(known, now())
        host.metrics.repeats.labels("sent" if has_room else "refused").inc()
        return has_room

    def count_begun(admitted: Admitted) -> None:
        if admitted.workspace is not None:
            host.usage.record_started(admitted.workspace.name, host.wall_time())

    def connection_lost(
        request: CallerRequest, admitted: Admitted, endpoint: Endpoint
    ) -> None:
        host.metrics.attempt_failures.labels(admitted.service).inc()
        host.crashes.connection_lost(request, endpoint)

    return ForwardingPolicy(
        take_repeat, count_begun, connection_lost, host.random.random
    )


class RequestHandler:
    """Handles the requests that callers send to one host."""

    def __init__(self, host: Host, admission: Admission, forwarder: Forwarder) -> None:
        """Handle requests on behalf of ``host``."""
        self._host = host
        self._admission = admission
        self._forwarder = forwarder
        self.refuses_new = False

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        request = decode_request(exchange)
        if request is None:
            exchange.respond(BAD_REQUEST, [], b"")
            return
        if self.refuses_new:
            decision = Refused(UNAVAILABLE, "shutting down", DRAIN_RETRY_SECONDS)
        elif self._host.crashes.is_quarantined(request):
            decision = Refused(
                UNAVAILABLE, "crashes endpoints", QUARANTINE_RETRY_SECONDS
            )
        else:
            decision = self._admission.decide(request, now())
        match decision:
            case Refused():
                self._refuse(exchange, request, decision)
            case Admitted():
                await self._forward(exchange, request, decision)

    def _refuse(
        self, exchange: Exchange, request: CallerRequest, refused: Refused
    ) -> None:
        headers = []
        if refused.retry_after_seconds is not None:
            seconds = f"{max(0.0, refused.retry_after_seconds):.2f}"
            headers.append((b"retry-after", seconds.encode()))
        exchange.respond(refused.status, headers, b"")
        self._host.metrics.refusals.labels(refused.reason).inc()
        site = self._host.site
        log.info(
            "refused",
            extra={
                "request": request.request_id,
                "status": refused.status,
                "reason": refused.reason,
                "tokens": request.prompt_tokens + request.output_tokens,
                "workspace": refused.workspace,
                "retry_after": refused.retry_after_seconds,
                "version": site.version,
                "version_age": round(site.configuration_proof.age(now()), 3),
            },
        )

    async def _forward(
        self, exchange: Exchange, request: CallerRequest, admitted: Admitted
    ) -> None:
        self._host.budget(admitted.service).record_request(now())
        run = RequestLog()
        try:
            await self._forwarder.forward(
                exchange, request, admitted, PromptShape.from_parts(request.prompt), run
            )
        finally:
            self._note(exchange, request, admitted, run)

    def _note(
        self,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        run: RequestLog,
    ) -> None:
        if exchange.is_finished and exchange.status in SUCCESS:
            self._host.crashes.succeeded(request)
        seconds = now() - request.arrived_at
        first_part = None
        if run.first_part_at is not None:
            first_part = run.first_part_at - request.arrived_at
        self._count(exchange, admitted, seconds, first_part)
        log.info(
            "forwarded",
            extra={
                "request": request.request_id,
                "route": admitted.route.name,
                "service": admitted.service,
                "workspace": admitted.workspace and admitted.workspace.name,
                "version": admitted.version,
                "outcome": _outcome(exchange),
                "status": exchange.status,
                "endpoints": run.endpoints,
                "cache_sources": run.cache_sources,
                "failures": run.failures,
                "first_part": first_part and round(first_part, 3),
                "seconds": round(seconds, 3),
                "tokens": request.prompt_tokens + request.output_tokens,
            },
        )

    def _count(
        self,
        exchange: Exchange,
        admitted: Admitted,
        seconds: float,
        first_part: float | None,
    ) -> None:
        metrics, route = self._host.metrics, admitted.route.name
        outcome = _outcome(exchange)
        status = exchange.status if outcome == ANSWERED else outcome
        metrics.answers.labels(route, status).inc()
        metrics.total.labels(route).observe(seconds)
        if first_part is not None:
            metrics.first_part.labels(route).observe(first_part)


def _outcome(exchange: Exchange) -> str:
    """Say how an answer ended, for logs and metrics."""
    if exchange.is_abandoned:
        return "abandoned"
    return ANSWERED if exchange.is_finished else "cut"
