"""Grants claims, so that a non-idempotent request is sent at most once per key.

A claim on the idempotency key must be durable in the platform's key-value
service before the request is sent to an endpoint. The claims of a shard are in one
head value, written with compare-and-swap. Claims and outcomes that arrive during a
write, or before the next one is due, are written together. The order of writes
decides between daemons; the owner of a shard only reduces conflicts. A service that
has returned from an older copy gets the records that it lost from the daemons first.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.claim_messages import (
    Action,
    ClaimHeld,
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
    StoreRestored,
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
from amaranthhollow.decisions.claim_resolution import resolve_waiting_claims
from amaranthhollow.decisions.claim_restoration import (
    drop_lost_segments,
    hold_records,
    hold_view,
    mark_restored,
    with_held_records,
)
from amaranthhollow.decisions.claim_shard import (
    Batch,
    ShardView,
    apply_outcome,
    drop_expired,
    expired_answer_claim_ids,
    plan_spill,
    record_with_outcome,
)
from amaranthhollow.decisions.claim_state import (
    Phase,
    ShardState,
    StepResult,
    WaitingClaim,
)

if TYPE_CHECKING:
    from amaranthhollow.decisions.store_position import StorePosition

__all__ = ["SERVICE_FAILURE_BACKOFF_SECONDS", "step"]

SERVICE_FAILURE_BACKOFF_SECONDS = 0.5
CLAIM_WRITE_INTERVAL_SECONDS = 0.04
OUTCOME_WRITE_INTERVAL_SECONDS = 0.1


def step(state: ShardState, event: Event, now: float) -> StepResult:
    """Apply ``event`` at the time ``now``, in seconds since the Unix epoch."""
    match event:
        case ClaimRequested():
            return _request_claim(state, event, now)
        case ClaimWithdrawn(record):
            return _start_next_call(_withdraw_claim(state, record), now)
        case OutcomeReported():
            return _start_next_call(
                replace(state, outcomes=(*state.outcomes, event)), now
            )
        case ClaimHeld(record):
            return StepResult(hold_records(state, (record,), now))
        case StoreRestored():
            return _store_restored(state, now)
        case HeadLoaded(head, position):
            return _head_loaded(state, head, position, now)
        case SegmentsLoaded():
            return _segments_loaded(state, event, now)
        case SegmentWritten():
            return _segment_written(state, now)
        case WriteSucceeded(position):
            return _write_succeeded(state, position, now)
        case WriteConflicted():
            return _start_next_call(_requeue_batch(state, is_uncertain=False), now)
        case WriteUncertain():
            state = hold_view(state, now)
            return _start_next_call(_requeue_batch(state, is_uncertain=True), now)
        case ServiceFailed():
            return _service_failed(state, now)
        case RetryDue():
            return _start_next_call(state, now)


def _request_claim(state: ShardState, event: ClaimRequested, now: float) -> StepResult:
    record = event.record
    available_at = max(state.retry_at, state.grants_from)
    if now < available_at:
        if record.supersedes:
            state = _close_as_not_run(state, record)
        return StepResult(
            state, (_refuse_as_unavailable(record), ScheduleRetry(available_at))
        )
    waiting = (*state.waiting, WaitingClaim(record))
    return _start_next_call(replace(state, waiting=waiting), now)


def _withdraw_claim(state: ShardState, record: ClaimRecord) -> ShardState:
    """Remove a claim, and record it as not run if a write of it may take effect."""
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
    """Record a claim as not run, and after it the claim that it supersedes.

    The last record of the key remains. The shard's owner may still process the
    superseded claim, and refuses it when it finds that record.
    """
    claims_to_close = (
        [record]
        if record.superseded_claim is None
        else [record, record.superseded_claim]
    )
    closing_outcomes = tuple(
        OutcomeReported(item, ClaimState.NOT_RUN) for item in claims_to_close
    )
    return replace(
        state,
        outcomes=(*state.outcomes, *closing_outcomes),
        uncertain_claim_ids=state.uncertain_claim_ids - {record.claim_id},
    )


def _store_restored(state: ShardState, now: float) -> StepResult:
    """Refuse all waiting claims, and write the held records again."""
    refused = _refuse_waiting_claims(mark_restored(state, now))
    return refused.then(_start_next_call(refused.state, now))


def _head_loaded(
    state: ShardState, head: ClaimHead, position: StorePosition | None, now: float
) -> StepResult:
    previous = state.view or ShardView(ClaimHead(), None)
    view = previous.with_head(head, position)
    waiting = tuple(replace(w, is_head_reread=True) for w in state.waiting)
    state = replace(state, phase=Phase.IDLE, view=view, waiting=waiting, spill=None)
    return _start_next_call(state, now)


def _segments_loaded(
    state: ShardState, event: SegmentsLoaded, now: float
) -> StepResult:
    view = state.view
    for segment_id, segment in event.segments_by_id.items():
        view = view.with_segment(segment_id, segment)
    if view.missing_segment_ids and view.position is None:
        view = drop_lost_segments(view)
    elif view.missing_segment_ids:
        # Segments were merged or expired after the head was read; reload the head.
        view = None
    return _start_next_call(replace(state, phase=Phase.IDLE, view=view), now)


def _segment_written(state: ShardState, now: float) -> StepResult:
    spill = state.spill
    view = state.view.with_segment(spill.reference.segment_id, spill.segment)
    return _start_next_call(replace(state, phase=Phase.IDLE, view=view), now)


def _write_succeeded(
    state: ShardState, position: StorePosition, now: float
) -> StepResult:
    batch = state.batch
    granted = {claim.claim_id for claim in batch.claims}
    outcomes = (record_with_outcome(outcome) for outcome in batch.outcomes)
    state = hold_records(state, (*batch.claims, *outcomes), now)
    state = replace(
        state,
        phase=Phase.IDLE,
        view=state.view.with_head(batch.head, position),
        is_rewrite_due=False,
        claim_write_due_at=now + CLAIM_WRITE_INTERVAL_SECONDS,
        outcome_write_due_at=now + OUTCOME_WRITE_INTERVAL_SECONDS,
        batch=None,
        uncertain_claim_ids=state.uncertain_claim_ids - granted,
        spill=None,
    )
    actions: tuple[Action, ...] = (
        *(GrantClaim(claim.claim_id) for claim in batch.claims),
        *(OutcomeDurable(outcome.record.claim_id) for outcome in batch.outcomes),
        *(DeleteSegment(segment_id) for segment_id in batch.obsolete_segment_ids),
        *(DeleteAnswer(claim_id) for claim_id in batch.obsolete_answer_claim_ids),
    )
    return StepResult(state, actions).then(_start_next_call(state, now))


def _requeue_batch(state: ShardState, *, is_uncertain: bool) -> ShardState:
    """Queue the claims and outcomes of the batch again, and discard the cached head."""
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


def _service_failed(state: ShardState, now: float) -> StepResult:
    """Refuse all waiting claims immediately, and retry the outcomes later."""
    if state.batch is not None:
        state = _requeue_batch(state, is_uncertain=False)
    retry_at = now + SERVICE_FAILURE_BACKOFF_SECONDS
    refused = _refuse_waiting_claims(state)
    state = replace(
        refused.state, phase=Phase.IDLE, view=None, spill=None, retry_at=retry_at
    )
    if not (state.outcomes or state.is_rewrite_due):
        return StepResult(state, refused.actions)
    return StepResult(state, (*refused.actions, ScheduleRetry(retry_at)))


def _refuse_waiting_claims(state: ShardState) -> StepResult:
    """Refuse the claims that are not being written."""
    refused = tuple(w.record for w in state.waiting)
    state = replace(state, waiting=())
    for record in refused:
        if record.supersedes or record.claim_id in state.uncertain_claim_ids:
            state = _close_as_not_run(state, record)
    return StepResult(state, tuple(map(_refuse_as_unavailable, refused)))


def _start_next_call(state: ShardState, now: float) -> StepResult:
    """Start the next call to the service if one is needed and none is in progress."""
    if state.phase is not Phase.IDLE:
        return StepResult(state)
    if state.is_view_outdated:
        state = replace(state, view=None, spill=None, is_view_outdated=False)
    if state.waiting and now < state.grants_from:
        refused = _refuse_waiting_claims(state)
        return refused.then(_start_next_call(refused.state, now))
    if not (state.waiting or state.outcomes or state.is_rewrite_due):
        return StepResult(state)
    if now < state.retry_at:
        return StepResult(state, (ScheduleRetry(state.retry_at),))
    if state.view is None:
        return StepResult(replace(state, phase=Phase.LOADING_HEAD), (LoadHead(),))
    segment_ids = state.view.missing_segment_ids
    if segment_ids:
        state = replace(state, phase=Phase.LOADING_SEGMENTS)
        return StepResult(state, (LoadSegments(segment_ids),))
    state = with_held_records(state, now)
    resolved = resolve_waiting_claims(state)
    if resolved.state.view is None:
        return resolved.then(_start_next_call(resolved.state, now))
    state = resolved.state
    if not (state.waiting or state.outcomes or state.is_rewrite_due):
        return resolved
    if now < state.write_due_at:
        return resolved.then(StepResult(state, (ScheduleRetry(state.write_due_at),)))
    return resolved.then(_start_write(state, now))


def _start_write(state: ShardState, now: float) -> StepResult:
    """Write all waiting claims and outcomes, after a spill if the head is full."""
    view = state.view
    spill = plan_spill(view, view.head) if state.spill is None else None
    if spill is not None:
        write = WriteSegment(spill.reference.segment_id, spill.segment)
        return StepResult(
            replace(state, phase=Phase.WRITING_SEGMENT, spill=spill), (write,)
        )
    head = drop_expired(view.head, now)
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
        obsolete_segment_ids=_obsolete_segment_ids(view.head, head),
        obsolete_answer_claim_ids=expired_answer_claim_ids(view, now),
    )
    state = replace(
        state, phase=Phase.WRITING_HEAD, waiting=(), outcomes=(), batch=batch
    )
    return StepResult(state, (WriteHead(head, view.position),))


def _add_claims(head: ClaimHead, claims: tuple[ClaimRecord, ...]) -> ClaimHead:
    keys = {claim.key_digest for claim in claims}
    others = tuple(r for r in head.records if r.key_digest not in keys)
    return ClaimHead(records=others + claims, segments=head.segments)


def _obsolete_segment_ids(before: ClaimHead, after: ClaimHead) -> tuple[str, ...]:
    kept = {reference.segment_id for reference in after.segments}
    return tuple(
        reference.segment_id
        for reference in before.segments
        if reference.segment_id not in kept
    )


def _refuse_as_unavailable(record: ClaimRecord) -> RefuseClaim:
    return RefuseClaim(record.claim_id, RefusalReason.SERVICE_UNAVAILABLE)
