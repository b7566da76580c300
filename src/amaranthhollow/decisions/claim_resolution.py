"""Resolves claims on idempotency keys that already have a record."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.claim_messages import (
    GrantClaim,
    RefusalReason,
    RefuseClaim,
    ReplayAnswer,
)
from amaranthhollow.decisions.claim_records import ClaimRecord, ClaimState
from amaranthhollow.decisions.claim_shard import record_with_outcome
from amaranthhollow.decisions.claim_state import ShardState, StepResult, WaitingClaim

if TYPE_CHECKING:
    from amaranthhollow.decisions.claim_messages import Action

__all__ = ["resolve_waiting_claims"]


def resolve_waiting_claims(state: ShardState) -> StepResult:
    """Grant, refuse or replay waiting claims whose key has a record.

    Claims on keys that may be claimed stay in ``waiting``, to be written.
    """
    unresolved: list[WaitingClaim] = []
    actions: list[Action] = []
    claimed_keys: set[bytes] = set()
    for waiting in state.waiting:
        record = waiting.record
        known = _find_newest(state, record.key_digest)
        if record.key_digest in claimed_keys:
            reason = RefusalReason.IN_PROGRESS
            actions.append(RefuseClaim(record.claim_id, reason))
        elif known is not None and _is_withdrawn(known, record):
            reason = RefusalReason.WITHDRAWN
            actions.append(RefuseClaim(record.claim_id, reason))
        elif known is None or known.is_claimable or _supersedes(record, known):
            claimed_keys.add(record.key_digest)
            unresolved.append(waiting)
        elif known.claim_id == record.claim_id:
            actions.append(GrantClaim(record.claim_id))
        elif known.state is ClaimState.CLAIMED and not waiting.is_head_reread:
            # The cached head may be outdated, and the claim may have an outcome by now.
            return StepResult(replace(state, view=None, spill=None))
        else:
            actions.append(_answer_repeated_request(record, known))
    unresolved_claim_ids = {waiting.record.claim_id for waiting in unresolved}
    state = replace(
        state,
        waiting=tuple(unresolved),
        uncertain_claim_ids=state.uncertain_claim_ids & unresolved_claim_ids,
    )
    return StepResult(state, tuple(actions))


def _find_newest(state: ShardState, key_digest: bytes) -> ClaimRecord | None:
    """Return the newest record of a key, including an outcome not written yet."""
    known = state.view.find(key_digest)
    if known is None or known.state is not ClaimState.CLAIMED:
        return known
    for outcome in state.outcomes:
        if outcome.record.claim_id == known.claim_id:
            return record_with_outcome(outcome)
    return known


def _is_withdrawn(known: ClaimRecord, record: ClaimRecord) -> bool:
    """Whether the daemon that requested this claim has closed it as not run."""
    return known.claim_id == record.claim_id and known.is_claimable


def _supersedes(record: ClaimRecord, known: ClaimRecord) -> bool:
    """Whether a claim replaces one under which its daemon never sent the request."""
    return known.state is ClaimState.CLAIMED and record.supersedes == known.claim_id


def _answer_repeated_request(record: ClaimRecord, known: ClaimRecord) -> Action:
    if known.request_digest != record.request_digest:
        return RefuseClaim(record.claim_id, RefusalReason.REQUEST_DIFFERS)
    match known.state:
        case ClaimState.ANSWERED:
            return ReplayAnswer(record.claim_id, known)
        case ClaimState.UNKNOWN:
            return RefuseClaim(record.claim_id, RefusalReason.OUTCOME_UNKNOWN)
        case _:
            return RefuseClaim(record.claim_id, RefusalReason.IN_PROGRESS)
