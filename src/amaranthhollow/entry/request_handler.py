"""Decodes, admits and forwards callers' requests, and logs each outcome."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.prompts import PromptShape
from amaranthhollow.decisions.site import RouteKind
from amaranthhollow.entry.refusal_log import RefusalLog
from amaranthhollow.entry.shortage import ShortageControl
from amaranthhollow.platform.callers import decode_request
from amaranthhollow.serving.admission import Admitted, Rejected
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.forwarder import ForwardingCallbacks, RequestLog

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.entry.brittle_limits import BrittleLimits
    from amaranthhollow.entry.endpoint_limits import EndpointLimits
    from amaranthhollow.entry.endpoint_statements import StatementLimits
    from amaranthhollow.entry.host import Host
    from amaranthhollow.entry.stream_origins import StreamOrigins
    from amaranthhollow.serving.admission import Admission
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.forwarder import Forwarder
    from amaranthhollow.serving.request import CallerRequest, ResponseInfo

__all__ = ["RequestHandler", "forwarding_callbacks"]

BAD_REQUEST = 400
UNAVAILABLE = 503
SUCCESS = range(200, 300)
GATEWAY_ERRORS = frozenset({502, 503, 504})
ANSWERED = "answered"
# Long, since the request would crash endpoints again until an operator intervenes.
QUARANTINE_RETRY_SECONDS = 60.0
# Short, since the retry reaches another host, or this one after its restart.
DRAINING_RETRY_SECONDS = 0.1
# By then some of the requests in progress have ended.
OVERLOAD_RETRY_SECONDS = 0.5

log = logbook.Logger("requests")


def forwarding_callbacks(
    host: Host,
    limits: EndpointLimits,
    brittle: BrittleLimits,
    statements: StatementLimits,
    origins: StreamOrigins,
) -> ForwardingCallbacks:
    """Return the callbacks that connect the forwarder to the rest of the host."""

    def spend_retry(service: str) -> bool:
        host_count = host.host_counts.total
        has_room = host.retry_budget(service).try_spend(host_count, now())
        host.metrics.repeats.increment("sent" if has_room else "refused")
        return has_room

    def notify_response_started(admitted: Admitted) -> None:
        if admitted.workspace is not None:
            host.usage.record_started(admitted.workspace.name, host.wall_time())

    def notify_prompt_read(admitted: Admitted, tokens: int, seconds: float) -> None:
        host.prompt_times(admitted.service).observe(tokens, seconds)

    def reading_seconds(service: str, tokens: int) -> float | None:
        return host.prompt_times(service).reading_seconds(tokens)

    def notify_connection_lost(
        request: CallerRequest,
        admitted: Admitted,
        endpoint: Endpoint,
        began_at: float | None,
    ) -> None:
        host.metrics.attempt_failures.increment(admitted.service)
        host.crash_detector.record_connection_loss(request, endpoint, began_at)

    def notify_response_head(
        endpoint: Endpoint, response: ResponseInfo, sent_at: float
    ) -> None:
        limits.observe_response(endpoint, response, sent_at)
        brittle.observe_response(endpoint, response, sent_at)
        statements.observe_response(endpoint, response)

    def may_send(endpoint: Endpoint) -> bool:
        return (
            statements.may_send(endpoint)
            and limits.may_send(endpoint)
            and brittle.may_send(endpoint)
        )

    def notify_sending(endpoint: Endpoint) -> None:
        limits.record_sent(endpoint)
        brittle.record_sent(endpoint)

    return ForwardingCallbacks(
        spend_retry=spend_retry,
        notify_response_started=notify_response_started,
        notify_prompt_read=notify_prompt_read,
        reading_seconds=reading_seconds,
        notify_connection_lost=notify_connection_lost,
        is_quarantined=host.crash_detector.is_quarantined,
        notify_response_head=notify_response_head,
        may_send=may_send,
        may_fetch_from=lambda endpoint: not statements.is_resting(endpoint),
        notify_sending=notify_sending,
        rest_seconds=statements.rest_seconds,
        notify_stream_started=origins.record_started,
        find_stream_version=origins.find_version,
        random=host.random.random,
    )


class RequestHandler:
    """Handles the requests that callers send to one host."""

    def __init__(
        self,
        host: Host,
        admission: Admission,
        forwarder: Forwarder,
        max_requests: int,
    ) -> None:
        """Handle up to ``max_requests`` at a time on behalf of ``host``.

        A request whose caller has left counts until its endpoint has responded.
        """
        self._host = host
        self._admission = admission
        self._forwarder = forwarder
        self.rejects_new_requests = False
        self._max_requests = max_requests
        self._request_count = 0
        self.refusal_log = RefusalLog(now())
        self._shortage = ShortageControl(host)

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = decode_request(exchange)
        if request is None:
            exchange.respond(BAD_REQUEST, [], b"")
            return
        if self.rejects_new_requests:
            decision = Rejected(UNAVAILABLE, "shutting down", DRAINING_RETRY_SECONDS)
        elif self._request_count >= self._max_requests:
            decision = Rejected(
                UNAVAILABLE, "too many requests", OVERLOAD_RETRY_SECONDS
            )
        elif self._host.crash_detector.is_quarantined(request):
            decision = Rejected(
                UNAVAILABLE, "crashes endpoints", QUARANTINE_RETRY_SECONDS
            )
        else:
            decision = self._admission.decide(request, now())
        match decision:
            case Rejected():
                self._reject(exchange, request, decision)
            case Admitted():
                refusal = self._shortage.check(request, decision, now())
                if refusal is not None:
                    self._reject(exchange, request, refusal.rejection, refusal.details)
                    return
                await self._forward(exchange, request, decision)

    def _reject(
        self,
        exchange: Exchange,
        request: CallerRequest,
        rejection: Rejected,
        details: Mapping[str, object] = MappingProxyType({}),
    ) -> None:
        headers = []
        if rejection.retry_after_seconds is not None:
            seconds = f"{max(0.0, rejection.retry_after_seconds):.2f}"
            headers.append((b"retry-after", seconds.encode()))
        exchange.respond(rejection.status, headers, b"")
        self._host.metrics.refusals.increment(rejection.reason)
        self.refusal_log.record_refused(rejection.reason, now())
        site = self._host.site
        log.info(
            "refused",
            extra={
                "request": request.request_id,
                "status": rejection.status,
                "reason": rejection.reason,
                "tokens": request.prompt_tokens + request.output_tokens,
                "workspace": rejection.workspace,
                "retry_after": rejection.retry_after_seconds,
                "version": site.version,
                "version_age": round(site.configuration_freshness.age(now()), 3),
                **details,
            },
        )

    async def _forward(
        self, exchange: Exchange, request: CallerRequest, admitted: Admitted
    ) -> None:
        self._host.retry_budget(admitted.service).record_request(now())
        request_log = RequestLog()
        self._request_count += 1
        try:
            await self._forwarder.forward(
                exchange,
                request,
                admitted,
                PromptShape.from_parts(request.prompt),
                request_log,
            )
        finally:
            self._request_count -= 1
            self._record_outcome(exchange, request, admitted, request_log)

    def _record_outcome(
        self,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        request_log: RequestLog,
    ) -> None:
        if exchange.is_finished and exchange.status in SUCCESS:
            self._host.crash_detector.record_success(request, request_log.sent_at)
        instant = now()
        seconds = instant - request.arrived_at
        self._record_end(exchange, request, admitted, request_log, instant)
        first_part = None
        if request_log.first_part_at is not None:
            first_part = request_log.first_part_at - request.arrived_at
        self._observe_metrics(exchange, admitted, seconds, first_part)
        self._count_outcome(exchange, request_log)
        log.info(
            "forwarded",
            extra={
                "request": request.request_id,
                "route": admitted.route.name,
                "service": admitted.service,
                "workspace": admitted.workspace and admitted.workspace.name,
                "version": admitted.configuration_version,
                "outcome": _outcome(exchange),
                "status": exchange.status,
                "endpoints": request_log.endpoints,
                "software": request_log.software_versions,
                "resumes": request.resumed_id,
                "after_event": request.last_event_id,
                "cache_sources": request_log.cache_sources,
                "relays": request_log.relays,
                "failures": request_log.failures,
                "prompt": _shared_parts(request) if request_log.failures else [],
                "first_part": first_part and round(first_part, 3),
                "seconds": round(seconds, 3),
                "tokens": request.prompt_tokens + request.output_tokens,
            },
        )

    def _record_end(
        self,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        request_log: RequestLog,
        instant: float,
    ) -> None:
        """Let the estimate of the time to the end learn from a request."""
        if exchange.is_abandoned:
            return
        is_stream = admitted.route.kind is RouteKind.STREAMING
        began_at = request_log.first_part_at if is_stream else request_log.sent_at
        is_complete = exchange.is_finished and exchange.status in SUCCESS
        self._shortage.record_end(
            request, admitted, began_at, instant, is_complete=is_complete
        )

    def _count_outcome(self, exchange: Exchange, request_log: RequestLog) -> None:
        if exchange.is_abandoned:
            return
        if exchange.is_finished and exchange.status not in GATEWAY_ERRORS:
            self.refusal_log.record_answered(now())
            return
        tried = "endpoints tried" if request_log.endpoints else "no endpoint"
        status = exchange.status if exchange.is_finished else "cut"
        self.refusal_log.record_refused(f"{status}, {tried}", now())

    def _observe_metrics(
        self,
        exchange: Exchange,
        admitted: Admitted,
        seconds: float,
        first_part: float | None,
    ) -> None:
        metrics, route = self._host.metrics, admitted.route.name
        outcome = _outcome(exchange)
        status = exchange.status if outcome == ANSWERED else outcome
        metrics.answers.increment(route, status)
        metrics.answer_seconds.observe(route, seconds)
        if first_part is not None:
            metrics.first_part_seconds.observe(route, first_part)


def _shared_parts(request: CallerRequest) -> list[str]:
    return [part.part_id for part in request.prompt[:-1]]


def _outcome(exchange: Exchange) -> str:
    """Return how a response ended, for logs and metrics."""
    if exchange.is_abandoned:
        return "abandoned"
    return ANSWERED if exchange.is_finished else "cut"
