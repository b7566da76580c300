"""Decides when a non-idempotent request may be sent: at most once per key.

A claim on the idempotency key must be durable in the platform's key-value
service before the request goes to an endpoint. The claims of a shard lie in one
head value under compare-and-swap; all claims and outcomes that wait while a
write is under way, or for the next one to be due, go out together. The order of
writes decides between daemons: a shard's owner only spares them conflicts.
"""

from __future__ import annotations

from dataclasses import replace

from amaranthhollow.decisions.claim_messages import (
    Action,
    ClaimRequested,
    ClaimWithdrawn,
    DeleteAnswer,
    DeleteSegment,
    Event,
    GrantClaim,
    HeadLoaded,
    LoadHead,
    LoadSegments,
    OutcomeDurable,
    OutcomeReported,
    RefusalReason,
    RefuseClaim,
    RetryDue,
    ScheduleRetry,
    SegmentsLoaded,
    SegmentWritten,
    ServiceFailed,
    WriteConflicted,
    WriteHead,
    WriteSegment,
    WriteSucceeded,
    WriteUncertain,
)
from amaranthhollow.decisions.claim_records import (
    ClaimHead,
    ClaimRecord,
    ClaimState,
)
from amaranthhollow.decisions.claim_resolution import resolve
from amaranthhollow.decisions.claim_shard import (
    Batch,
    ShardView,
    apply_outcome,
    expired_answers,
    plan_spill,
    trim,
)
from amaranthhollow.decisions.claim_state import Phase, ShardState, Step, WaitingClaim

__all__ = ["BACKOFF_SECONDS", "step"]

BACKOFF_SECONDS = 0.5
CLAIM_WRITE_INTERVAL_SECONDS = 0.04
OUTCOME_WRITE_INTERVAL_SECONDS = 0.1


def step(state: ShardState, event: Event, now: float) -> Step:
    """Apply ``event`` at the instant ``now``, in seconds since the Unix epoch."""
    match event:
        case ClaimRequested():
            return _request(state, event, now)
        case ClaimWithdrawn(record):
            return _proceed(_withdraw(state, record), now)
        case OutcomeReported():
            return _proceed(replace(state, outcomes=(*state.outcomes, event)), now)
        case HeadLoaded(head, revision):
            return _head_loaded(state, head, revision, now)
        case SegmentsLoaded():
            return _segments_loaded(state, event, now)
        case SegmentWritten():
            return _segment_written(state, now)
        case WriteSucceeded(revision):
            return _write_succeeded(state, revision, now)
        case WriteConflicted():
            return _proceed(_requeue(state, is_uncertain=False), now)
        case WriteUncertain():
            return _proceed(_requeue(state, is_uncertain=True), now)
        case ServiceFailed():
            return _service_failed(state, now)
        case RetryDue():
            return _proceed(state, now)


def _request(state: ShardState, event: ClaimRequested, now: float) -> Step:
    record = event.record
    if now < state.retry_at:
        if record.supersedes:
            state = _close_as_not_run(state, record)
        return Step(state, (_unavailable(record), ScheduleRetry(state.retry_at)))
    waiting = (*state.waiting, WaitingClaim(record))
    return _proceed(replace(state, waiting=waiting), now)


def _withdraw(state: ShardState, record: ClaimRecord) -> ShardState:
    """Forget a claim; close it in the service if a write of it may land."""
    claim_id = record.claim_id
    is_written = state.batch is not None and record in state.batch.claims
    waiting = tuple(w for w in state.waiting if w.record.claim_id != claim_id)
    state = replace(state, waiting=waiting)
    if is_written:
        claims = tuple(c for c in state.batch.claims if c.claim_id != claim_id)
        state = replace(state, batch=replace(state.batch, claims=claims))
    if is_written or record.supersedes or claim_id in state.uncertain_claim_ids:
        state = _close_as_not_run(state, record)
    return state


def _close_as_not_run(state: ShardState, record: ClaimRecord) -> ShardState:
    """Close a claim, and last the one it supersedes: the owner may still write it."""
    closed = (
        [record]
        if record.superseded_claim is None
        else [record, record.superseded_claim]
    )
    closing = tuple(OutcomeReported(item, ClaimState.NOT_RUN) for item in closed)
    return replace(
        state,
        outcomes=(*state.outcomes, *closing),
        uncertain_claim_ids=state.uncertain_claim_ids - {record.claim_id},
    )


def _head_loaded(state: ShardState, head: ClaimHead, revision: int, now: float) -> Step:
    previous = state.view or ShardView(ClaimHead(), 0)
    view = previous.moved_to(head, revision)
    waiting = tuple(replace(w, is_rechecked=True) for w in state.waiting)
    state = replace(state, phase=Phase.IDLE, view=view, waiting=waiting, spill=None)
    return _proceed(state, now)


def _segments_loaded(state: ShardState, event: SegmentsLoaded, now: float) -> Step:
    view = state.view
    for segment_id, segment in event.segments_by_id.items():
        view = view.with_segment(segment_id, segment)
    if view.missing_segments:
        # Merged or expired since the head was read: read the head again.
        view = None
    return _proceed(replace(state, phase=Phase.IDLE, view=view), now)


def _segment_written(state: ShardState, now: float) -> Step:
    spill = state.spill
    view = state.view.with_segment(spill.reference.segment_id, spill.segment)
    return _proceed(replace(state, phase=Phase.IDLE, view=view), now)


def _write_succeeded(state: ShardState, revision: int, now: float) -> Step:
    batch = state.batch
    granted = {claim.claim_id for claim in batch.claims}
    state = replace(
        state,
        phase=Phase.IDLE,
        view=state.view.moved_to(batch.head, revision),
        claims_due_at=now + CLAIM_WRITE_INTERVAL_SECONDS,
        outcomes_due_at=now + OUTCOME_WRITE_INTERVAL_SECONDS,
        batch=None,
        uncertain_claim_ids=state.uncertain_claim_ids - granted,
        spill=None,
    )
    actions: tuple[Action, ...] = (
        *(GrantClaim(claim.claim_id) for claim in batch.claims),
        *(OutcomeDurable(outcome.record.claim_id) for outcome in batch.outcomes),
        *(DeleteSegment(segment_id) for segment_id in batch.obsolete_segments),
        *(DeleteAnswer(claim_id) for claim_id in batch.obsolete_answers),
    )
    return Step(state, actions).then(_proceed(state, now))


def _requeue(state: ShardState, *, is_uncertain: bool) -> ShardState:
    """Put the batch back in the queue and forget the head it was based on."""
    batch = state.batch
    claims = tuple(WaitingClaim(c) for c in batch.claims)
    uncertain_claim_ids = {c.claim_id for c in batch.claims} if is_uncertain else set()
    return replace(
        state,
        phase=Phase.IDLE,
        view=None,
        waiting=claims + state.waiting,
        outcomes=batch.outcomes + state.outcomes,
        batch=None,
        uncertain_claim_ids=state.uncertain_claim_ids | uncertain_claim_ids,
        spill=None,
    )


def _service_failed(state: ShardState, now: float) -> Step:
    """Refuse every waiting claim at once and retry the outcomes later."""
    if state.batch is not None:
        state = _requeue(state, is_uncertain=False)
    refused = tuple(w.record for w in state.waiting)
    retry_at = now + BACKOFF_SECONDS
    state = replace(
        state, phase=Phase.IDLE, view=None, waiting=(), spill=None, retry_at=retry_at
    )
    for record in refused:
        if record.supersedes or record.claim_id in state.uncertain_claim_ids:
            state = _close_as_not_run(state, record)
    actions: tuple[Action, ...] = tuple(_unavailable(record) for record in refused)
    if state.outcomes:
        actions = (*actions, ScheduleRetry(retry_at))
    return Step(state, actions)


def _proceed(state: ShardState, now: float) -> Step:
    """Start the next call to the service if one is needed and none is under way."""
    is_needed = bool(state.waiting or state.outcomes)
    if state.phase is not Phase.IDLE or not is_needed:
        return Step(state)
    if now < state.retry_at:
        return Step(state, (ScheduleRetry(state.retry_at),))
    if state.view is None:
        return Step(replace(state, phase=Phase.LOADING_HEAD), (LoadHead(),))
    missing = state.view.missing_segments
    if missing:
        state = replace(state, phase=Phase.LOADING_SEGMENTS)
        return Step(state, (LoadSegments(missing),))
    resolved = resolve(state)
    if resolved.state.view is None:
        return resolved.then(_proceed(resolved.state, now))
    state = resolved.state
    if not (state.waiting or state.outcomes):
        return resolved
    if now < state.due_at:
        return resolved.then(Step(state, (ScheduleRetry(state.due_at),)))
    return resolved.then(_write(state, now))


def _write(state: ShardState, now: float) -> Step:
    """Write all waiting claims and outcomes, spilling first if the head is full."""
    view = state.view
    spill = plan_spill(view, view.head) if state.spill is None else None
    if spill is not None:
        write = WriteSegment(spill.reference.segment_id, spill.segment)
        return Step(replace(state, phase=Phase.WRITING_SEGMENT, spill=spill), (write,))
    head = trim(view.head, now)
    for outcome in state.outcomes:
        current = replace(view, head=head)
        head = apply_outcome(current, head, outcome)
    claims = tuple(waiting.record for waiting in state.waiting)
    head = _add_claims(head, claims)
    if state.spill is not None:
        head = state.spill.apply(head)
    batch = Batch(
        claims=claims,
        outcomes=state.outcomes,
        head=head,
        obsolete_segments=_obsolete(view.head, head),
        obsolete_answers=expired_answers(view, now),
    )
    state = replace(
        state, phase=Phase.WRITING_HEAD, waiting=(), outcomes=(), batch=batch
    )
    return Step(state, (WriteHead(head, view.revision),))


def _add_claims(head: ClaimHead, claims: tuple[ClaimRecord, ...]) -> ClaimHead:
    keys = {claim.key_digest for claim in claims}
    others = tuple(r for r in head.records if r.key_digest not in keys)
    return ClaimHead(records=others + claims, segments=head.segments)


def _obsolete(before: ClaimHead, after: ClaimHead) -> tuple[str, ...]:
    kept = {reference.segment_id for reference in after.segments}
    return tuple(
        reference.segment_id
        for reference in before.segments
        if reference.segment_id not in kept
    )


def _unavailable(record: ClaimRecord) -> RefuseClaim:
    return RefuseClaim(record.claim_id, RefusalReason.SERVICE_UNAVAILABLE)
