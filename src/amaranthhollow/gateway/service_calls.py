"""Forwards calls to plain services; non-idempotent calls run at most once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.claim_messages import (
    GrantClaim,
    RefusalReason,
    RefuseClaim,
    ReplayAnswer,
)
from amaranthhollow.decisions.claim_records import (
    Answer,
    ClaimRecord,
    ClaimState,
    digest,
)
from amaranthhollow.decisions.quarantine import (
    EVIDENCE_DELAY_SECONDS,
    VERDICT_DELAY_SECONDS,
)
from amaranthhollow.decisions.retries import AttemptFailure, Outcome
from amaranthhollow.endpoints.service import ServiceResponse
from amaranthhollow.gateway.connection_losses import report_connection_loss
from amaranthhollow.gateway.problems import Problem, ProblemError, quarantined_problem
from amaranthhollow.gateway.suspects import suspect_slot

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.endpoints.service import ServiceCall
    from amaranthhollow.gateway.lifecycle import RequestLifecycle

__all__ = ["ServiceRequest", "call_at_most_once", "call_idempotent"]

MAX_ATTEMPTS = 3


@dataclass(frozen=True)
class ServiceRequest:
    """A call of a service on behalf of a workspace."""

    workspace: str
    deployment: str
    call: ServiceCall
    idempotency_key: str | None


async def call_idempotent(
    node: Node, request: ServiceRequest, lifecycle: RequestLifecycle
) -> ServiceResponse:
    """Call a service, with retries at other endpoints within the retry budget."""
    failure = AttemptFailure.NOT_CONNECTED
    tried: set[str] = set()
    may_have_run = False
    for attempt in range(MAX_ATTEMPTS):
        _reject_quarantined(node, request)
        if attempt and not node.try_spend_retry(request.deployment):
            break
        if failure is AttemptFailure.CONNECTION_LOST:
            is_suspect = node.quarantine.is_suspect(_request_digest(request))
            await asyncio.sleep(
                VERDICT_DELAY_SECONDS if is_suspect else EVIDENCE_DELAY_SECONDS
            )
        result = await _attempt(node, request, tried, lifecycle)
        if result is None:
            break
        if isinstance(result, Ok):
            lifecycle.advance("answer")
            return result.ok_value
        failure = result.err_value
        may_have_run = may_have_run or failure is not AttemptFailure.NOT_CONNECTED
        if failure is AttemptFailure.TIMED_OUT:
            break
    outcome = Outcome.FAILED if may_have_run else Outcome.NOT_RUN
    raise ProblemError(_unanswered_problem(node, request, failure, outcome))


async def call_at_most_once(
    node: Node, request: ServiceRequest, lifecycle: RequestLifecycle
) -> ServiceResponse:
    """Call a service at most once for the request's idempotency key."""
    _reject_quarantined(node, request)
    lifecycle.advance("claim")
    record = _claim_record(node, request)
    result = await node.claim_router.claim(record, request.call.deadline)
    match result:
        case GrantClaim(claim_id):
            lifecycle.advance("grant")
            granted = msgspec.structs.replace(record, claim_id=claim_id)
            return await _run_claimed(node, request, granted, lifecycle)
        case ReplayAnswer(_, original):
            node.counters.increment("claims.replayed")
            answer = await _replay(node, original)
            lifecycle.advance("replay")
            return answer
        case RefuseClaim(_, reason):
            node.counters.increment(f"claims.refused.{reason.name.lower()}")
            raise ProblemError(_refusal_problem(node, reason))


async def _run_claimed(
    node: Node,
    request: ServiceRequest,
    record: ClaimRecord,
    lifecycle: RequestLifecycle,
) -> ServiceResponse:
    """Send a claimed call; retry at another endpoint only if no byte was sent."""
    failure = AttemptFailure.NOT_CONNECTED
    tried: set[str] = set()
    state = ClaimState.UNKNOWN
    answer: Answer | None = None
    try:
        for _ in range(MAX_ATTEMPTS):
            if node.now() >= request.call.deadline:
                state = ClaimState.NOT_RUN
                break
            result = await _attempt(node, request, tried, lifecycle)
            if result is None:
                state = ClaimState.NOT_RUN
                break
            if isinstance(result, Ok):
                response = result.ok_value
                state = ClaimState.ANSWERED
                lifecycle.advance("answer")
                answer = Answer(response.status, response.content_type, response.body)
                return response
            failure = result.err_value
            if failure is not AttemptFailure.NOT_CONNECTED:
                break
        else:
            state = ClaimState.NOT_RUN
    finally:
        await node.claim_router.report_outcome(record, state, answer)
        node.counters.increment(f"claims.{state.name.lower()}")
    is_not_run = state is ClaimState.NOT_RUN
    outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
    raise ProblemError(_unanswered_problem(node, request, failure, outcome))


async def _attempt(
    node: Node,
    request: ServiceRequest,
    tried: set[str],
    lifecycle: RequestLifecycle,
) -> Result[ServiceResponse, AttemptFailure] | None:
    """Call an endpoint that was not tried before; return None if there is none."""
    endpoint = node.choose(request.deployment, None, tried)
    if endpoint is None:
        return None
    tried.add(endpoint.host)
    lifecycle.advance("dispatch")
    async with suspect_slot(node, endpoint, _request_digest(request)) as is_acquired:
        if not is_acquired:
            return Err(AttemptFailure.NOT_CONNECTED)
        return await _send(node, request, endpoint)


async def _send(
    node: Node, request: ServiceRequest, endpoint: Endpoint
) -> Result[ServiceResponse, AttemptFailure]:
    """Call an endpoint and record its success or failure."""
    node.chooser.record_sent(endpoint.host, None)
    try:
        result = await node.services.call(endpoint.url, request.call, node.now())
    finally:
        node.chooser.record_ended(endpoint.host)
    if isinstance(result, Ok):
        node.endpoints.record_success(endpoint.host)
        node.chooser.record_success(endpoint.host, node.now())
        return result
    node.counters.increment(f"attempts.{result.err_value.name.lower()}")
    node.endpoints.record_failure(endpoint.host, node.now())
    node.chooser.record_failure(endpoint.host, node.now())
    if result.err_value is AttemptFailure.CONNECTION_LOST:
        report_connection_loss(node, endpoint, _request_digest(request))
    return result


def _request_digest(request: ServiceRequest) -> bytes:
    """Return the digest of a call by its content, independent of the workspace."""
    call = request.call
    return digest(request.deployment, call.method, call.path, call.query, call.body)


def _reject_quarantined(node: Node, request: ServiceRequest) -> None:
    if node.quarantine.is_quarantined(_request_digest(request), node.now()):
        raise ProblemError(quarantined_problem())


def _claim_record(node: Node, request: ServiceRequest) -> ClaimRecord:
    call = request.call
    key = request.idempotency_key or ""
    retention = node.configuration.claim_retention_seconds
    return ClaimRecord(
        key_digest=digest(request.workspace, request.deployment, key),
        request_digest=digest(call.method, call.path, call.query, call.body),
        claim_id=node.next_claim_id(),
        expires_at=node.now() + retention,
    )


async def _replay(node: Node, original: ClaimRecord) -> ServiceResponse:
    recorded = await node.claim_store.recorded_answer(original)
    if isinstance(recorded, Err):
        raise ProblemError(
            Problem(
                status=503,
                kind="answer-unavailable",
                title="The recorded answer cannot be read",
                detail=f"The request ran before, but {recorded.err_value}.",
                outcome=Outcome.UNKNOWN,
                retry_after_seconds=node.retry_after_seconds(1.0),
            )
        )
    answer = recorded.ok_value
    return ServiceResponse(answer.status, answer.content_type, answer.body)


def _refusal_problem(node: Node, reason: RefusalReason) -> Problem:
    match reason:
        case RefusalReason.SERVICE_UNAVAILABLE:
            return Problem(
                status=503,
                kind="claim-unavailable",
                title="The request cannot be claimed now",
                detail="The key-value service does not answer; nothing was sent.",
                outcome=Outcome.NOT_RUN,
                retry_after_seconds=node.retry_after_seconds(2.0),
            )
        case RefusalReason.IN_PROGRESS:
            return Problem(
                status=409,
                kind="in-progress",
                title="The request was claimed before",
                detail="A request with this Idempotency-Key has no outcome yet.",
                outcome=Outcome.UNKNOWN,
                retry_after_seconds=node.retry_after_seconds(1.0),
            )
        case RefusalReason.OUTCOME_UNKNOWN:
            return Problem(
                status=409,
                kind="outcome-unknown",
                title="The outcome is not known",
                detail="A request with this Idempotency-Key was sent; its answer was "
                "lost. It will not be sent again.",
                outcome=Outcome.UNKNOWN,
            )
        case RefusalReason.REQUEST_DIFFERS:
            return Problem(
                status=422,
                kind="key-reused",
                title="The Idempotency-Key belongs to another request",
                detail="This Idempotency-Key was used with another method, path or "
                "body.",
                outcome=Outcome.NOT_RUN,
                field="Idempotency-Key",
            )


def _unanswered_problem(
    node: Node, request: ServiceRequest, failure: AttemptFailure, outcome: Outcome
) -> Problem:
    return Problem(
        status=504 if failure is AttemptFailure.TIMED_OUT else 503,
        kind="unanswered",
        title="The service did not answer",
        detail=f"The service {request.deployment!r} did not answer: {failure.value}.",
        outcome=outcome,
        retry_after_seconds=(
            None if outcome is Outcome.UNKNOWN else node.retry_after_seconds(1.0)
        ),
    )
