"""One shard of claims as this daemon last saw it, and edits of its head."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from hashlib import blake2b
from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.claim_records import (
    ClaimHead,
    ClaimRecord,
    ClaimState,
    Segment,
    SegmentReference,
    encode_head,
    encode_segment,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthhollow.decisions.claim_messages import OutcomeReported

__all__ = [
    "Batch",
    "ShardView",
    "Spill",
    "apply_outcome",
    "closed_record",
    "expired_answers",
    "plan_spill",
    "trim",
]

MAX_HEAD_BYTES = 4_096
MAX_SEGMENT_BYTES = 524_288
SEGMENT_ID_BYTES = 12

RecordsByKey = MappingProxyType[bytes, ClaimRecord]


@dataclass(frozen=True)
class ShardView:
    """A head at a revision, with the records of its segments by key digest."""

    head: ClaimHead
    revision: int
    records_by_segment_id: Mapping[str, RecordsByKey] = field(default_factory=dict)

    @property
    def missing_segments(self) -> tuple[str, ...]:
        """Identifiers of the segments that are still to be loaded."""
        return tuple(
            reference.segment_id
            for reference in self.head.segments
            if reference.segment_id not in self.records_by_segment_id
        )

    def find(self, key_digest: bytes) -> ClaimRecord | None:
        """Return the newest record of a key; the head goes before segments."""
        for record in reversed(self.head.records):
            if record.key_digest == key_digest:
                return record
        for reference in reversed(self.head.segments):
            record = self.records_by_segment_id[reference.segment_id].get(key_digest)
            if record is not None:
                return record
        return None

    def with_segment(self, segment_id: str, segment: Segment) -> ShardView:
        """Return the view with one more segment loaded."""
        loaded = dict(self.records_by_segment_id)
        loaded[segment_id] = MappingProxyType(
            {record.key_digest: record for record in segment.records}
        )
        return replace(self, records_by_segment_id=MappingProxyType(loaded))

    def moved_to(self, head: ClaimHead, revision: int) -> ShardView:
        """Return the view of a newer head, keeping segments still referred to."""
        referred = {reference.segment_id for reference in head.segments}
        kept = {
            segment_id: records
            for segment_id, records in self.records_by_segment_id.items()
            if segment_id in referred
        }
        return ShardView(head, revision, MappingProxyType(kept))


@dataclass(frozen=True)
class Batch:
    """What one write of the head contains."""

    claims: tuple[ClaimRecord, ...]
    outcomes: tuple[OutcomeReported, ...]
    head: ClaimHead
    obsolete_segments: tuple[str, ...] = ()
    obsolete_answers: tuple[str, ...] = ()


@dataclass(frozen=True)
class Spill:
    """Moves the older records of a head into a segment, merging small segments."""

    segment: Segment
    reference: SegmentReference
    merged: tuple[str, ...]

    def apply(self, head: ClaimHead) -> ClaimHead:
        """Return ``head`` with the spilled records replaced by a reference."""
        spilled = set(self.segment.records)
        return ClaimHead(
            records=tuple(r for r in head.records if r not in spilled),
            segments=(
                *(r for r in head.segments if r.segment_id not in self.merged),
                self.reference,
            ),
        )


def trim(head: ClaimHead, now: float) -> ClaimHead:
    """Drop records and segments that have expired at ``now``."""
    return ClaimHead(
        records=tuple(r for r in head.records if r.expires_at > now),
        segments=tuple(s for s in head.segments if s.expires_at > now),
    )


def expired_answers(view: ShardView, now: float) -> tuple[str, ...]:
    """Return the claims whose separately stored answers expire with a trim."""
    records = list(view.head.records)
    for reference in view.head.segments:
        if reference.expires_at <= now:
            records += view.records_by_segment_id[reference.segment_id].values()
    return tuple(
        record.claim_id
        for record in records
        if record.expires_at <= now
        and record.answer
        and record.answer.stored_separately
    )


def apply_outcome(
    view: ShardView, head: ClaimHead, outcome: OutcomeReported
) -> ClaimHead:
    """Return ``head`` with the outcome of one claim recorded.

    Only a claim without an outcome gets one: an answer and an unknown outcome are
    final. A claim that was withdrawn before its write was confirmed may be absent. It
    then leaves a NOT_RUN record, so that a write of it still under way conflicts.
    """
    claim = outcome.record
    current = view.find(claim.key_digest)
    if current is None or current.is_open_for_claim:
        is_ours = outcome.state is ClaimState.NOT_RUN
    else:
        is_without_outcome = current.state is ClaimState.CLAIMED
        is_ours = is_without_outcome and current.claim_id == claim.claim_id
    if not is_ours:
        return head
    others = (r for r in head.records if r.key_digest != claim.key_digest)
    return ClaimHead((*others, closed_record(outcome)), head.segments)


def closed_record(outcome: OutcomeReported) -> ClaimRecord:
    """Return the record of a claim with its outcome."""
    return msgspec.structs.replace(
        outcome.record, state=outcome.state, answer=outcome.answer
    )


def plan_spill(view: ShardView, head: ClaimHead) -> Spill | None:
    """Plan a spill if ``head`` is over its size, taking its older half.

    Segments no larger than what is spilled are merged into the new one, so
    that their number stays logarithmic in the number of records.
    """
    if len(head.records) < 2 or len(encode_head(head)) <= MAX_HEAD_BYTES:
        return None
    older = head.records[: len(head.records) // 2]
    records_by_key = {record.key_digest: record for record in older}
    size = len(encode_segment(Segment(older)))
    merged: list[str] = []
    for reference in reversed(head.segments):
        records = view.records_by_segment_id[reference.segment_id]
        other_size = len(encode_segment(Segment(tuple(records.values()))))
        if other_size > size or size + other_size > MAX_SEGMENT_BYTES:
            break
        records_by_key = {**records, **records_by_key}
        size += other_size
        merged.append(reference.segment_id)
    segment = Segment(tuple(records_by_key.values()))
    return Spill(segment, _refer_to(segment), tuple(merged))


def _refer_to(segment: Segment) -> SegmentReference:
    """Name a segment by its content, so that writing it twice is harmless."""
    content = encode_segment(segment)
    return SegmentReference(
        segment_id=blake2b(content, digest_size=SEGMENT_ID_BYTES).hexdigest(),
        expires_at=max(record.expires_at for record in segment.records),
    )
