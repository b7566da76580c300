"""Answers claims on keys that are known already."""

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
from amaranthhollow.decisions.claim_shard import closed_record
from amaranthhollow.decisions.claim_state import ShardState, Step, WaitingClaim

if TYPE_CHECKING:
    from amaranthhollow.decisions.claim_messages import Action

__all__ = ["resolve"]


def resolve(state: ShardState) -> Step:
    """Answer the waiting claims whose key is known; leave those to be written."""
    unknown: list[WaitingClaim] = []
    actions: list[Action] = []
    claimed: set[bytes] = set()
    for waiting in state.waiting:
        record = waiting.record
        known = _find(state, record.key_digest)
        if record.key_digest in claimed:
            reason = RefusalReason.IN_PROGRESS
            actions.append(RefuseClaim(record.claim_id, reason))
        elif known is not None and _is_withdrawn(known, record):
            reason = RefusalReason.WITHDRAWN
            actions.append(RefuseClaim(record.claim_id, reason))
        elif known is None or known.is_open_for_claim or _supersedes(record, known):
            claimed.add(record.key_digest)
            unknown.append(waiting)
        elif known.claim_id == record.claim_id:
            actions.append(GrantClaim(record.claim_id))
        elif known.state is ClaimState.CLAIMED and not waiting.is_rechecked:
            # The head in memory may be old: the claim may have ended since.
            return Step(replace(state, view=None, spill=None))
        else:
            actions.append(_answer_repeat(record, known))
    still_waiting = {waiting.record.claim_id for waiting in unknown}
    state = replace(
        state,
        waiting=tuple(unknown),
        uncertain_claim_ids=state.uncertain_claim_ids & still_waiting,
    )
    return Step(state, tuple(actions))


def _find(state: ShardState, key_digest: bytes) -> ClaimRecord | None:
    """Return the newest record of a key, with an outcome that is not written yet."""
    known = state.view.find(key_digest)
    if known is None or known.state is not ClaimState.CLAIMED:
        return known
    for outcome in state.outcomes:
        if outcome.record.claim_id == known.claim_id:
            return closed_record(outcome)
    return known


def _is_withdrawn(known: ClaimRecord, record: ClaimRecord) -> bool:
    """Tell whether this very claim was closed, by the daemon that asked for it."""
    return known.claim_id == record.claim_id and known.is_open_for_claim


def _supersedes(record: ClaimRecord, known: ClaimRecord) -> bool:
    """Tell whether a claim takes the place of one that its daemon never sent under."""
    return known.state is ClaimState.CLAIMED and record.supersedes == known.claim_id


def _answer_repeat(record: ClaimRecord, known: ClaimRecord) -> Action:
    if known.request_digest != record.request_digest:
        return RefuseClaim(record.claim_id, RefusalReason.REQUEST_DIFFERS)
    match known.state:
        case ClaimState.ANSWERED:
            return ReplayAnswer(record.claim_id, known)
        case ClaimState.UNKNOWN:
            return RefuseClaim(record.claim_id, RefusalReason.OUTCOME_UNKNOWN)
        case _:
            return RefuseClaim(record.claim_id, RefusalReason.IN_PROGRESS)
