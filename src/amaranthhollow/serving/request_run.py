"""The attempts of one request, until its caller has a final answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.site import RouteKind
from amaranthhollow.serving.attempt import Silent, WholeBody
from amaranthhollow.serving.attempt_result import (
    Answered,
    AttemptResult,
    Delivered,
    NotRun,
    Unknown,
)
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.endpoint_connection import (
    AnswerEnd,
    BodyPart,
    ConnectionLost,
)
from amaranthhollow.serving.event_stream import EventSplitter
from amaranthhollow.serving.request import AnswerFacts, Dispatch

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.prompts import PromptShape
    from amaranthhollow.serving.admission import Admitted
    from amaranthhollow.serving.attempt import Attempt
    from amaranthhollow.serving.exchange import Exchange
    from amaranthhollow.serving.forwarder import Forwarder, RequestLog
    from amaranthhollow.serving.request import CallerRequest

__all__ = ["RequestRun"]

NOT_RUN_STATUSES = frozenset({421, 429, 503})
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
SUCCESS = range(200, 300)
SERVER_ERROR = 500

# The answer has to reach the client before its deadline.
ANSWER_MARGIN_SECONDS = 0.03
# The endpoint's own answer at the deadline is to arrive before the one given here.
ENDPOINT_MARGIN_SECONDS = 0.03
# An attempt with less time than this could not be answered by a fast endpoint.
MIN_ATTEMPT_SECONDS = 0.02
# A busy moment passes within a few answers; callers are spread over twice as long.
BUSY_RETRY_SECONDS = 0.25
# The part of the time left after which a repeatable request goes elsewhere.
SILENCE_SHARE = 0.5
# An endpoint that said nothing to anybody for this long is taken as unreachable.
MIN_SILENCE_SECONDS = 0.6


class RequestRun:
    """The attempts of one request."""

    def __init__(
        self,
        forwarder: Forwarder,
        exchange: Exchange,
        request: CallerRequest,
        admitted: Admitted,
        prompt: PromptShape | None,
        log: RequestLog,
    ) -> None:
        """Forward ``request`` on behalf of ``forwarder``; fills in ``log``."""
        self._forwarder = forwarder
        self._exchange = exchange
        self._request = request
        self._admitted = admitted
        self._prompt = prompt
        self._route = admitted.route
        self._deadline = admitted.deadline - ANSWER_MARGIN_SECONDS
        self._tried: list[str] = []
        self._sent = 0
        self._may_have_run = False
        self._has_repeat = False
        self._splitter = EventSplitter(request.last_event_id)
        self.log = log

    async def forward(self) -> None:
        """Try endpoints until the caller has an answer."""
        while True:
            endpoint = self._next_endpoint()
            if endpoint is None:
                return self._give_up()
            self._tried.append(endpoint.host)
            match await self._try(endpoint):
                case Delivered():
                    return None
                case Answered(facts, body):
                    if not self._is_worth_repeating(facts):
                        return self._relay(facts, body)
                    self._fail(f"{endpoint.host} answered {facts.head.status}")
                    if not self._may_repeat():
                        return self._relay(facts, body)
                    self._may_have_run = True
                case NotRun(reason):
                    self._fail(reason)
                    if self._sent and not self._may_send_again():
                        return self._give_up()
                case Unknown(reason):
                    self._fail(reason)
                    self._may_have_run = True
                    if not self._has_repeat and not self._may_repeat():
                        return self._give_up()
                    self._has_repeat = False

    def _next_endpoint(self) -> Endpoint | None:
        if self._deadline - now() < MIN_ATTEMPT_SECONDS:
            return None
        return self._forwarder.choose(self._admitted, self._prompt, self._tried)

    def _may_send_again(self) -> bool:
        """Tell whether the request may go to one more endpoint."""
        if self._sent >= self._route.max_attempts or self._exchange.is_abandoned:
            return False
        return self._forwarder.policy.take_repeat(self._admitted.service)

    def _may_repeat(self) -> bool:
        return self._route.may_retry_unknown and self._may_send_again()

    def _may_leave(self) -> bool:
        """Take a repeat for leaving a silent endpoint; without one it is waited for."""
        if self._next_endpoint() is None:
            return False
        self._has_repeat = self._has_repeat or self._may_repeat()
        return self._has_repeat

    def _is_worth_repeating(self, facts: AnswerFacts) -> bool:
        return (
            facts.head.status >= SERVER_ERROR
            and self._route.kind is RouteKind.IDEMPOTENT
        )

    def _fail(self, reason: str) -> None:
        self.log.failures.append(reason)

    async def _try(self, endpoint: Endpoint) -> AttemptResult:
        forwarder = self._forwarder
        attempt = forwarder.attempt_at(endpoint)
        self.log.endpoints.append(endpoint.host)
        source = forwarder.cache_source(self._admitted, endpoint, self._prompt)
        if source is not None:
            self.log.cache_sources.append(source)
        self._pending = forwarder.chooser.record_sent(
            endpoint.host, self._prompt, fetches=source is not None
        )
        try:
            result = await self._send_and_read(attempt, endpoint, source)
            self._judge(endpoint, result)
            return result
        finally:
            forwarder.chooser.record_prompt_read(endpoint.host, self._pending)
            forwarder.chooser.record_ended(endpoint.host)
            attempt.close()

    async def _send_and_read(
        self, attempt: Attempt, endpoint: Endpoint, cache_source: str | None
    ) -> AttemptResult:
        dispatch = Dispatch(
            endpoint_id=endpoint.host,
            seconds_left=self._deadline - now() - ENDPOINT_MARGIN_SECONDS,
            priority=min(9, max(0, self._admitted.priority)),
            workspace=self._admitted.workspace and self._admitted.workspace.name,
            last_event_id=self._splitter.last_event_id,
            cache_source=cache_source,
        )
        is_repeatable = self._route.may_retry_unknown
        sent = await attempt.send(
            self._request, dispatch, needs_fresh=not is_repeatable
        )
        if not sent:
            self._forwarder.note_failure(endpoint, is_unreachable=True)
            return NotRun(f"{endpoint.host} took no connection")
        self._sent += 1
        self._exchange.outlives_caller = self._route.kind is RouteKind.NON_IDEMPOTENT
        head = await self._read_head(attempt, endpoint)
        match head:
            case AnswerFacts():
                return await self._read_answer(attempt, endpoint, head)
            case ConnectionLost(kind, detail):
                return self._lost(endpoint, f"{kind.value}: {detail}")
            case Silent():
                return Unknown(f"{endpoint.host} silent")

    async def _read_head(
        self, attempt: Attempt, endpoint: Endpoint
    ) -> AnswerFacts | ConnectionLost | Silent:
        """Wait to the deadline, or until an unreachable endpoint is given up."""
        wait_until = self._patience_ends(attempt)
        event = await attempt.read_head(wait_until)
        if not isinstance(event, Silent):
            self._forwarder.heard_from(endpoint)
            return event
        if wait_until >= self._deadline:
            return event
        if self._is_dark(attempt, endpoint) and self._may_leave():
            return event
        return await attempt.read_head(self._deadline)

    def _patience_ends(self, attempt: Attempt) -> float:
        if not self._route.may_retry_unknown or self._sent >= self._route.max_attempts:
            return self._deadline
        left = self._deadline - attempt.sent_at
        target = self._route.latency_target_seconds
        patience = min(left * SILENCE_SHARE, max(target, MIN_SILENCE_SECONDS))
        return attempt.sent_at + patience

    def _is_dark(self, attempt: Attempt, endpoint: Endpoint) -> bool:
        return self._forwarder.is_silent_since(endpoint, attempt.sent_at)

    async def _read_answer(
        self, attempt: Attempt, endpoint: Endpoint, facts: AnswerFacts
    ) -> AttemptResult:
        status = facts.head.status
        if facts.did_not_run and status in NOT_RUN_STATUSES:
            await attempt.read_body(self._deadline)
            return NotRun(f"{endpoint.host} answered {status}, not run")
        if status in SUCCESS and not facts.is_signed:
            return Unknown(f"{endpoint.host} sent an unsigned answer")
        if status in SUCCESS and facts.is_event_stream:
            return await self._relay_stream(attempt, endpoint, facts)
        match await attempt.read_body(self._deadline):
            case WholeBody(data):
                self.log.first_part_at = now()
                self._forwarder.policy.count_begun(self._admitted)
                return Answered(facts, data)
            case ConnectionLost(kind, detail):
                return self._lost(endpoint, f"cut, {kind.value}: {detail}")
            case Silent():
                return Unknown(f"{endpoint.host} stopped in its answer")

    def _relay(self, facts: AnswerFacts, body: bytes) -> None:
        """Send a whole answer on; a refusal that promises nothing stays one.

        It cannot follow a stream that has begun at another endpoint: that is cut.
        """
        if self._exchange.has_started:
            self._fail(f"answered {facts.head.status} on resumption")
            self._exchange.abort()
            return
        if facts.head.status in NOT_RUN_STATUSES and not facts.did_not_run:
            self._exchange.respond(BAD_GATEWAY, [], b"")
            return
        self._exchange.respond(facts.head.status, facts.forwarded, body)

    async def _relay_stream(
        self, attempt: Attempt, endpoint: Endpoint, facts: AnswerFacts
    ) -> AttemptResult:
        self._splitter = EventSplitter(self._splitter.last_event_id)
        while True:
            wait_until = self._gap_ends(attempt)
            part = await attempt.read_part(wait_until)
            if isinstance(part, Silent) and wait_until < self._deadline:
                if self._is_dark_for_gap(endpoint) and self._may_leave():
                    return Unknown(f"{endpoint.host} stalled")
                continue
            match part:
                case BodyPart(data):
                    self._forwarder.heard_from(endpoint)
                    await self._send_events(facts, endpoint, data)
                case AnswerEnd():
                    return self._finish_stream(endpoint)
                case ConnectionLost(kind, detail):
                    return self._lost(endpoint, f"cut, {kind.value}: {detail}")
                case Silent():
                    return Unknown(f"{endpoint.host} not done in time")

    def _gap_ends(self, attempt: Attempt) -> float:
        """Return until when the next event of a repeatable stream is waited for."""
        if not self._route.may_retry_unknown or self._sent >= self._route.max_attempts:
            return self._deadline
        if self.log.first_part_at is None:
            return max(now() + MIN_SILENCE_SECONDS, self._patience_ends(attempt))
        gap = self._route.max_gap_seconds or self._route.latency_target_seconds
        return min(self._deadline, now() + max(gap, MIN_SILENCE_SECONDS))

    def _is_dark_for_gap(self, endpoint: Endpoint) -> bool:
        return self._forwarder.is_silent_since(endpoint, now() - MIN_SILENCE_SECONDS)

    async def _send_events(
        self, facts: AnswerFacts, endpoint: Endpoint, data: bytes
    ) -> None:
        events = self._splitter.feed(data)
        if not events:
            return
        if self._pending:
            self._forwarder.chooser.record_prompt_read(endpoint.host, self._pending)
            self._pending = 0
        if self.log.first_part_at is None:
            self.log.first_part_at = now()
            self._forwarder.policy.count_begun(self._admitted)
        if not self._exchange.has_started:
            self._exchange.start(facts.head.status, facts.forwarded)
        self._exchange.send(events)
        await self._exchange.drained()

    def _finish_stream(self, endpoint: Endpoint) -> AttemptResult:
        if self._splitter.has_rest:
            return Unknown(f"{endpoint.host} ended within an event")
        if not self._exchange.has_started:
            return Unknown(f"{endpoint.host} ended without an event")
        self._exchange.finish()
        return Delivered()

    def _lost(self, endpoint: Endpoint, detail: str) -> Unknown:
        self._forwarder.policy.connection_lost(self._request, self._admitted, endpoint)
        return Unknown(f"{endpoint.host} {detail}")

    def _judge(self, endpoint: Endpoint, result: AttemptResult) -> None:
        match result:
            case Delivered():
                self._forwarder.note_success(endpoint)
            case Answered(facts):
                if facts.head.status < SERVER_ERROR:
                    self._forwarder.note_success(endpoint)
                else:
                    self._forwarder.note_failure(endpoint, is_unreachable=False)
            case Unknown():
                self._forwarder.note_failure(endpoint, is_unreachable=True)
            case NotRun():
                self._forwarder.note_failure(endpoint, is_unreachable=False)

    def _give_up(self) -> None:
        """Give the final answer of a request that no endpoint answered."""
        exchange = self._exchange
        if exchange.has_started:
            exchange.abort()
            return
        if not self._may_have_run:
            delay = BUSY_RETRY_SECONDS * (1 + self._forwarder.policy.random())
            retry_after = (b"retry-after", f"{delay:.2f}".encode())
            exchange.respond(UNAVAILABLE, [retry_after], b"")
            return
        is_late = self._deadline - now() < MIN_ATTEMPT_SECONDS
        exchange.respond(GATEWAY_TIMEOUT if is_late else BAD_GATEWAY, [], b"")
