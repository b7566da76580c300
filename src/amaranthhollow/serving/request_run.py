"""Forwards one request: makes attempts, retries them and relays the response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.site import RouteKind
from amaranthhollow.serving.attempt import CompleteBody, TimedOut
from amaranthhollow.serving.attempt_result import (
    AttemptResult,
    Delivered,
    NotRun,
    OutcomeUnknown,
    ResponseReceived,
)
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.connection_pool import Reuse
from amaranthhollow.serving.endpoint_connection import (
    BodyPart,
    ConnectionLost,
    ResponseEnd,
)
from amaranthhollow.serving.event_stream import EventSplitter
from amaranthhollow.serving.request import Dispatch, ResponseInfo
from amaranthhollow.serving.silence import SilenceJudge

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.prompts import PromptShape
    from amaranthhollow.serving.admission import Admitted
    from amaranthhollow.serving.attempt import Attempt
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.forwarder import Forwarder, RequestLog
    from amaranthhollow.serving.request import CallerRequest

__all__ = ["RequestRun"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
SUCCESS = range(200, 300)
SERVER_ERROR = 500

# Leaves time to send the response to the caller before its deadline.
CALLER_MARGIN_SECONDS = 0.03
# The endpoint's own timeout response should arrive before this host sends one.
ENDPOINT_MARGIN_SECONDS = 0.03
# Even a fast endpoint could not respond in less time.
MIN_ATTEMPT_SECONDS = 0.02
# Load peaks pass within a few responses. The delay is drawn between this value and
# twice it, so that callers don't retry at the same time.
BUSY_RETRY_SECONDS = 0.25


class RequestRun:
    """Runs the attempts of one request."""

    def __init__(
        self,
        forwarder: Forwarder,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        prompt: PromptShape | None,
        log: RequestLog,
    ) -> None:
        """Forward ``request`` to endpoints of ``forwarder``; fill in ``log``."""
        self._forwarder = forwarder
        self._exchange = exchange
        self._request = request
        self._admitted = admitted
        self._prompt = prompt
        self._route = admitted.route
        self._deadline = admitted.deadline - CALLER_MARGIN_SECONDS
        self._tried_hosts: list[str] = []
        self._sent_count = 0
        self._may_have_run = False
        self._has_retry = False
        self._numbering = forwarder.event_numbering(admitted.service)
        self._splitter = EventSplitter(request.last_event_id, self._numbering)
        self._software_version: str | None = None
        self._began_at: float | None = None
        self._tokens_to_read = 0
        self._is_whole_stream = False
        self._silence: SilenceJudge | None = None
        self.log = log

    async def forward(self) -> None:
        """Make attempts until the caller has a response."""
        if self._takes_up_stream and not await self._find_software_version():
            self._log_failure("unknown which software version began the stream")
            return self._respond_with_failure()
        while True:
            endpoint = self._next_endpoint()
            if endpoint is None:
                self._log_failure(
                    self._forwarder.describe_choice(
                        self._admitted.service, self._tried_hosts
                    )
                )
                return self._respond_with_failure()
            self._tried_hosts.append(endpoint.host)
            match await self._run_attempt(endpoint):
                case Delivered():
                    return None
                case ResponseReceived(response, body):
                    if not self._is_retryable_error(response):
                        return self._relay(response, body)
                    self._log_failure(
                        f"{endpoint.host} responded {response.head.status}"
                    )
                    if not self._reserve_retry():
                        return self._relay(response, body)
                    self._may_have_run = True
                case NotRun(reason):
                    self._log_failure(reason)
                    if self._sent_count and not self._reserve_attempt():
                        return self._respond_with_failure()
                case OutcomeUnknown(reason):
                    self._log_failure(reason)
                    self._may_have_run = True
                    if not self._has_retry and not self._reserve_retry():
                        return self._respond_with_failure()
                    self._has_retry = False
            if self._forwarder.callbacks.is_quarantined(self._request):
                self._log_failure("crashes endpoints")
                return self._respond_with_failure()

    @property
    def _takes_up_stream(self) -> bool:
        is_stream = self._route.kind is RouteKind.STREAMING
        return is_stream and self._request.last_event_id is not None

    async def _find_software_version(self) -> bool:
        """Bind the request to the version that began its stream, if that is known."""
        callbacks = self._forwarder.callbacks
        self._software_version = await callbacks.find_stream_version(
            self._request, self._admitted
        )
        return self._software_version is not None

    def _next_endpoint(self) -> Endpoint | None:
        if self._deadline - now() < MIN_ATTEMPT_SECONDS:
            return None
        return self._forwarder.choose_endpoint(
            self._admitted, self._prompt, self._tried_hosts, self._software_version
        )

    def _reserve_attempt(self) -> bool:
        """Spend a retry for one more attempt; return False if none is allowed."""
        if self._sent_count >= self._route.max_attempts or self._exchange.is_abandoned:
            return False
        return self._forwarder.callbacks.spend_retry(self._admitted.service)

    def _reserve_retry(self) -> bool:
        return self._route.may_retry_unknown and self._reserve_attempt()

    def _may_switch_endpoint(self) -> bool:
        """Return whether an inactive endpoint may be left for another one.

        This needs another endpoint and spends a retry, which the next attempt uses.
        """
        if self._next_endpoint() is None:
            return False
        self._has_retry = self._has_retry or self._reserve_retry()
        return self._has_retry

    def _is_retryable_error(self, response: ResponseInfo) -> bool:
        return (
            response.head.status >= SERVER_ERROR
            and self._route.kind is RouteKind.IDEMPOTENT
        )

    def _log_failure(self, reason: str) -> None:
        self.log.failures.append(reason)

    async def _run_attempt(self, endpoint: Endpoint) -> AttemptResult:
        forwarder = self._forwarder
        attempt = forwarder.new_attempt(endpoint)
        forwarder.callbacks.notify_sending(endpoint)
        self.log.endpoints.append(endpoint.host)
        source = forwarder.cache_source(self._admitted, endpoint, self._prompt)
        if source is not None:
            self.log.cache_sources.append(source)
        self.log.estimate = forwarder.chooser.estimate(
            endpoint, self._prompt, self._request.output_tokens, now()
        )
        self._pending_tokens = forwarder.chooser.record_sent(
            endpoint.host, self._prompt, fetches=source is not None
        )
        self._tokens_to_read = forwarder.chooser.load(endpoint.host).pending_tokens
        try:
            result = await self._send_and_read(attempt, endpoint, source)
            self._record_result(endpoint, result)
            return result
        finally:
            forwarder.chooser.record_prompt_read(endpoint.host, self._pending_tokens)
            forwarder.chooser.record_ended(endpoint.host)
            attempt.close()

    @property
    def _allowed_reuse(self) -> Reuse:
        """Which pooled connections may carry the next attempt.

        Late bytes of earlier responses may have spoiled several of them, so a request
        whose outcome is unknown is not sent over a second one.
        """
        if self._may_have_run:
            return Reuse.NONE
        return Reuse.ANY if self._route.may_retry_unknown else Reuse.RECENT

    async def _send_and_read(
        self, attempt: Attempt, endpoint: Endpoint, cache_source: str | None
    ) -> AttemptResult:
        if not await attempt.connect(self._allowed_reuse):
            self._forwarder.record_attempt_failure(endpoint, is_unreachable=True)
            return NotRun(f"connection to {endpoint.host} failed")
        if self._deadline - now() < MIN_ATTEMPT_SECONDS:
            return NotRun(f"connection to {endpoint.host} opened too late")
        dispatch = Dispatch(
            endpoint_id=endpoint.host,
            seconds_left=self._deadline - now() - ENDPOINT_MARGIN_SECONDS,
            priority=min(9, max(0, self._admitted.priority)),
            workspace=self._admitted.workspace and self._admitted.workspace.name,
            last_event_id=self._splitter.last_event_id,
            cache_source=cache_source,
        )
        attempt.send(self._request, dispatch)
        self._sent_count += 1
        self._began_at = None
        self.log.sent_at = attempt.sent_at
        if attempt.relay is not None:
            self.log.relays.append(attempt.relay)
        self._silence = self._new_silence_judge(attempt)
        self._exchange.continues_after_disconnect = (
            self._route.kind is RouteKind.NON_IDEMPOTENT
        )
        head = await self._read_head(attempt, endpoint)
        match head:
            case ResponseInfo():
                self._forwarder.callbacks.notify_response_head(
                    endpoint, head, attempt.sent_at
                )
                return await self._read_response(attempt, endpoint, head)
            case ConnectionLost(kind, detail):
                return self._connection_lost(endpoint, f"{kind.value}: {detail}")
            case TimedOut():
                return OutcomeUnknown(f"{endpoint.host} sent no response in time")

    def _new_silence_judge(self, attempt: Attempt) -> SilenceJudge | None:
        """Return the judge of the endpoint, or None if no retry is possible."""
        route = self._route
        if not route.may_retry_unknown or self._sent_count >= route.max_attempts:
            return None
        return SilenceJudge(
            self._forwarder,
            attempt,
            route,
            self._deadline,
            self._reading_seconds(attempt.endpoint),
        )

    def _reading_seconds(self, endpoint: Endpoint) -> float | None:
        """Return how long an endpoint reads alone the prompts that it has."""
        if self._prompt is None:
            return 0.0
        tokens = self._forwarder.chooser.load(endpoint.host).pending_tokens
        reading_seconds = self._forwarder.callbacks.reading_seconds
        return reading_seconds(self._admitted.service, tokens)

    async def _read_head(
        self, attempt: Attempt, endpoint: Endpoint
    ) -> ResponseInfo | ConnectionLost | TimedOut:
        """Read the head until the deadline, or until the endpoint is left."""
        event = await self._read_head_unless_left(attempt)
        if not isinstance(event, TimedOut):
            self._forwarder.record_activity(endpoint)
        return event

    async def _read_head_unless_left(
        self, attempt: Attempt
    ) -> ResponseInfo | ConnectionLost | TimedOut:
        silence = self._silence
        if silence is None:
            return await attempt.read_head(self._deadline)
        deadlines = silence.head_deadlines
        event = await attempt.read_head(deadlines.suspect_at)
        if not isinstance(event, TimedOut):
            return event
        if silence.has_other_requests and self._may_leave(silence):
            return event
        event = await attempt.read_head(deadlines.leave_at)
        if not isinstance(event, TimedOut) or self._may_leave(silence):
            return event
        return await attempt.read_head(self._deadline)

    def _may_leave(self, silence: SilenceJudge) -> bool:
        return silence.is_silent_since_sent() and self._may_switch_endpoint()

    async def _read_response(
        self, attempt: Attempt, endpoint: Endpoint, response: ResponseInfo
    ) -> AttemptResult:
        status = response.head.status
        if response.did_not_run and status in NOT_RUN_STATUSES:
            await attempt.read_body(self._deadline)
            return NotRun(f"{endpoint.host} responded {status}, not run")
        if status in SUCCESS and not response.is_signed:
            return OutcomeUnknown(f"{endpoint.host} sent an unsigned response")
        if status in SUCCESS and response.is_event_stream:
            return await self._relay_stream(attempt, endpoint, response)
        match await attempt.read_body(self._deadline):
            case CompleteBody(data):
                self.log.first_part_at = now()
                self._forwarder.callbacks.notify_response_started(self._admitted)
                return ResponseReceived(response, data)
            case ConnectionLost(kind, detail):
                return self._connection_lost(
                    endpoint, f"body incomplete, {kind.value}: {detail}"
                )
            case TimedOut():
                return OutcomeUnknown(
                    f"{endpoint.host} did not complete its response in time"
                )

    def _relay(self, response: ResponseInfo, body: bytes) -> None:
        """Relay a complete response.

        A 408, 421, 429 or 503 that does not state that the request has not run becomes
        502, since these statuses mean that it has not run. If a stream was already
        started from another endpoint, the caller's connection is reset instead.
        """
        if self._exchange.has_started:
            self._log_failure(
                f"responded {response.head.status} to the resumption of a stream"
            )
            self._exchange.abort()
            return
        if response.head.status in NOT_RUN_STATUSES and not response.did_not_run:
            self._exchange.respond(BAD_GATEWAY, [], b"")
            return
        self._exchange.respond(response.head.status, response.forwarded_headers, body)

    async def _relay_stream(
        self, attempt: Attempt, endpoint: Endpoint, response: ResponseInfo
    ) -> AttemptResult:
        last_event_id = self._splitter.last_event_id
        self._is_whole_stream = last_event_id is None
        self._splitter = EventSplitter(last_event_id, self._numbering)
        while True:
            wait_until = self._event_due_at()
            part = await attempt.read_body_part(wait_until)
            if isinstance(part, TimedOut) and wait_until < self._deadline:
                if self._silence.is_silent() and self._may_switch_endpoint():
                    return OutcomeUnknown(f"{endpoint.host} stopped sending events")
                continue
            match part:
                case BodyPart(data):
                    self._forwarder.record_activity(endpoint)
                    await self._send_events(attempt, response, data)
                    if self._splitter.fault is not None:
                        return OutcomeUnknown(f"{endpoint.host} {self._splitter.fault}")
                    if self._splitter.is_event_too_long:
                        return self._connection_lost(
                            endpoint, "sent an event that exceeds the size limit"
                        )
                case ResponseEnd():
                    return self._finish_stream(endpoint, response)
                case ConnectionLost(kind, detail):
                    return self._connection_lost(
                        endpoint, f"body incomplete, {kind.value}: {detail}"
                    )
                case TimedOut():
                    return OutcomeUnknown(
                        f"{endpoint.host} did not complete its stream in time"
                    )

    def _event_due_at(self) -> float:
        """Return the time from which on a missing event of a stream shows a fault.

        This is the deadline if no retry is possible.
        """
        if self._silence is None:
            return self._deadline
        if self.log.first_part_at is None:
            return self._silence.first_event_due_at()
        return self._silence.next_event_due_at()

    async def _send_events(
        self, attempt: Attempt, response: ResponseInfo, data: bytes
    ) -> None:
        endpoint = attempt.endpoint
        events = self._splitter.feed(data)
        if not events:
            return
        if self._pending_tokens:
            self._forwarder.chooser.record_prompt_read(
                endpoint.host, self._pending_tokens
            )
            self._forwarder.callbacks.notify_prompt_read(
                self._admitted, self._pending_tokens, now() - attempt.sent_at
            )
            self._forwarder.chooser.estimator.observe_first(
                endpoint.host, self._tokens_to_read, now() - attempt.sent_at, now()
            )
            self._pending_tokens = 0
        self._began_at = self._began_at or now()
        if self.log.first_part_at is None:
            self.log.first_part_at = now()
            self._forwarder.callbacks.notify_response_started(self._admitted)
        version = endpoint.listed.software_version
        if version not in self.log.software_versions:
            self.log.software_versions.append(version)
        if not self._exchange.has_started:
            self._software_version = version
            if self._route.may_resume:
                self._forwarder.callbacks.notify_stream_started(
                    self._request, self._admitted, version
                )
            self._exchange.start(response.head.status, response.forwarded_headers)
        self._exchange.send(events)
        await self._exchange.drain()

    def _finish_stream(
        self, endpoint: Endpoint, response: ResponseInfo
    ) -> AttemptResult:
        has_end = not response.head.is_close_delimited
        if self._splitter.has_partial_event:
            reason = "ended its stream within an event"
        elif not self._splitter.has_event:
            reason = "ended its stream before the first event"
        else:
            self._exchange.finish()
            output_tokens = self._request.output_tokens
            if self._is_whole_stream and output_tokens and self._began_at is not None:
                self._forwarder.chooser.estimator.observe_end(
                    endpoint.host, output_tokens, now() - self._began_at, now()
                )
            return Delivered()
        if has_end:
            return OutcomeUnknown(f"{endpoint.host} {reason}")
        return self._connection_lost(endpoint, reason)

    def _connection_lost(self, endpoint: Endpoint, detail: str) -> OutcomeUnknown:
        self._forwarder.callbacks.notify_connection_lost(
            self._request, self._admitted, endpoint, self._began_at
        )
        return OutcomeUnknown(f"{endpoint.host} {detail}")

    def _record_result(self, endpoint: Endpoint, result: AttemptResult) -> None:
        match result:
            case Delivered():
                self._forwarder.record_attempt_success(endpoint)
            case ResponseReceived(response):
                if response.head.status < SERVER_ERROR:
                    self._forwarder.record_attempt_success(endpoint)
                else:
                    self._forwarder.record_attempt_failure(
                        endpoint, is_unreachable=False
                    )
            case OutcomeUnknown():
                self._forwarder.record_attempt_failure(endpoint, is_unreachable=True)
            case NotRun():
                self._forwarder.record_attempt_failure(endpoint, is_unreachable=False)

    def _respond_with_failure(self) -> None:
        """Respond with an error, or reset the connection of a started response.

        The status is 503 if no endpoint can have run the request, else 504 after the
        deadline and 502 before it.
        """
        exchange = self._exchange
        if exchange.has_started:
            exchange.abort()
            return
        if not self._may_have_run:
            callbacks = self._forwarder.callbacks
            delay = BUSY_RETRY_SECONDS * (1 + callbacks.random())
            delay += callbacks.rest_seconds(self._admitted.service)
            retry_after = (b"retry-after", f"{delay:.2f}".encode())
            exchange.respond(UNAVAILABLE, [retry_after], b"")
            return
        is_late = self._deadline - now() < MIN_ATTEMPT_SECONDS
        exchange.respond(GATEWAY_TIMEOUT if is_late else BAD_GATEWAY, [], b"")
