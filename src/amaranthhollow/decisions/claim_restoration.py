"""Writes claims again that the key-value service lost by returning from an older copy.

Every daemon keeps the records that it made durable, or that the owner of their shard
made durable for it, for as long as a copy may be old. A daemon that did not know of the
restore may have replaced the restored head by one whose segments the copy lacks, so it
keeps the records of its cached view as well. A record is lost only with all daemons
that hold it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.claim_records import ClaimHead, ClaimState
from amaranthhollow.decisions.claim_state import HeldRecord, Phase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.claim_records import ClaimRecord
    from amaranthhollow.decisions.claim_shard import ShardView
    from amaranthhollow.decisions.claim_state import ShardState

__all__ = [
    "GRANT_DELAY_SECONDS",
    "HELD_RECORD_SECONDS",
    "drop_lost_segments",
    "hold_records",
    "hold_view",
    "mark_restored",
    "with_held_records",
]

# The copies are some seconds old (platform documentation); the service keeps 20 s of
# history.
HELD_RECORD_SECONDS = 20.0
# The daemons hear of a new era by gossip within a second, and write within another.
GRANT_DELAY_SECONDS = 2.0


def hold_records(
    state: ShardState, records: Iterable[ClaimRecord], now: float
) -> ShardState:
    """Return the state that holds durable ``records`` and drops expired ones."""
    held = {k: h for k, h in state.held_by_key.items() if h.expires_at > now}
    for record in records:
        held[record.key_digest] = HeldRecord(record, now + HELD_RECORD_SECONDS)
    return replace(state, held_by_key=held)


def hold_view(state: ShardState, now: float) -> ShardState:
    """Return the state that also holds all records of the cached view."""
    if state.view is None:
        return state
    held = dict(state.held_by_key)
    for record in state.view.all_records():
        held.setdefault(
            record.key_digest, HeldRecord(record, now + HELD_RECORD_SECONDS)
        )
    return replace(state, held_by_key=held)


def drop_lost_segments(view: ShardView) -> ShardView:
    """Return the view of a head of an earlier era, without segments that were lost."""
    missing = set(view.missing_segment_ids)
    segments = tuple(s for s in view.head.segments if s.segment_id not in missing)
    return replace(view, head=ClaimHead(view.head.records, segments))


def mark_restored(state: ShardState, now: float) -> ShardState:
    """Return the state after the service returned from an older copy.

    The cached head is read again, after the call in progress if there is one.
    """
    is_idle = state.phase is Phase.IDLE
    state = hold_view(state, now)
    return replace(
        state,
        view=None if is_idle else state.view,
        spill=None if is_idle else state.spill,
        is_view_outdated=not is_idle,
        is_rewrite_due=bool(state.held_by_key),
        grants_from=now + GRANT_DELAY_SECONDS,
    )


def with_held_records(state: ShardState, now: float) -> ShardState:
    """Return the state whose view has the held records that the service lost.

    They become durable with the next write of the head, which is due if there are any.
    """
    if not state.is_rewrite_due:
        return state
    lost = [
        held.record
        for held in state.held_by_key.values()
        if held.record.expires_at > now and _is_lost(state, held.record, now)
    ]
    if not lost:
        return replace(state, is_rewrite_due=state.view.is_ahead)
    lost_keys = {record.key_digest for record in lost}
    head = state.view.head
    kept = tuple(r for r in head.records if r.key_digest not in lost_keys)
    head = ClaimHead((*kept, *lost), head.segments)
    return replace(state, view=replace(state.view, head=head, is_ahead=True))


def _is_lost(state: ShardState, held: ClaimRecord, now: float) -> bool:
    """Return whether the service has no record as new as a held one."""
    known = state.view.find(held.key_digest)
    if known is None or known.expires_at <= now:
        return True
    if known.claim_id == held.claim_id:
        return known.state is ClaimState.CLAIMED and held.state is not known.state
    return known.is_claimable and not held.is_claimable
