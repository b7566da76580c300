"""Cached view of one shard of claims, and functions that edit its head."""

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
    from collections.abc import Iterator, Mapping

    from amaranthhollow.decisions.claim_messages import OutcomeReported
    from amaranthhollow.decisions.store_position import StorePosition

__all__ = [
    "Batch",
    "ShardView",
    "Spill",
    "apply_outcome",
    "drop_expired",
    "expired_answer_claim_ids",
    "plan_spill",
    "record_with_outcome",
]

MAX_SHARD_HEAD_BYTES = 4_096
MAX_SEGMENT_BYTES = 524_288
SEGMENT_ID_BYTES = 12

RecordsByKey = MappingProxyType[bytes, ClaimRecord]


@dataclass(frozen=True)
class ShardView:
    """A shard's head at a position, with the records of the loaded segments.

    ``is_ahead`` is whether the head has records that the service has yet to store.
    """

    head: ClaimHead
    position: StorePosition | None
    records_by_segment_id: Mapping[str, RecordsByKey] = field(default_factory=dict)
    is_ahead: bool = False

    @property
    def missing_segment_ids(self) -> tuple[str, ...]:
        """Identifiers of the segments that are not loaded yet."""
        return tuple(
            reference.segment_id
            for reference in self.head.segments
            if reference.segment_id not in self.records_by_segment_id
        )

    def find(self, key_digest: bytes) -> ClaimRecord | None:
        """Return the newest record of a key; the head is newer than all segments."""
        for record in reversed(self.head.records):
            if record.key_digest == key_digest:
                return record
        for reference in reversed(self.head.segments):
            record = self.records_by_segment_id[reference.segment_id].get(key_digest)
            if record is not None:
                return record
        return None

    def all_records(self) -> Iterator[ClaimRecord]:
        """Yield the records of the head and of the loaded segments, newest first."""
        yield from reversed(self.head.records)
        for reference in reversed(self.head.segments):
            records = self.records_by_segment_id.get(reference.segment_id, {})
            yield from records.values()

    def with_segment(self, segment_id: str, segment: Segment) -> ShardView:
        """Return the view with a segment added."""
        loaded = dict(self.records_by_segment_id)
        loaded[segment_id] = MappingProxyType(
            {record.key_digest: record for record in segment.records}
        )
        return replace(self, records_by_segment_id=MappingProxyType(loaded))

    def with_head(self, head: ClaimHead, position: StorePosition | None) -> ShardView:
        """Return the view of a newer head, keeping the segments that it refers to."""
        referenced = {reference.segment_id for reference in head.segments}
        kept = {
            segment_id: records
            for segment_id, records in self.records_by_segment_id.items()
            if segment_id in referenced
        }
        return ShardView(head, position, MappingProxyType(kept))


@dataclass(frozen=True)
class Batch:
    """Claims and outcomes of one head write, and what becomes obsolete with it."""

    claims: tuple[ClaimRecord, ...]
    outcomes: tuple[OutcomeReported, ...]
    head: ClaimHead
    obsolete_segment_ids: tuple[str, ...] = ()
    obsolete_answer_claim_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class Spill:
    """A move of a head's older records to a segment, with small segments merged in."""

    segment: Segment
    reference: SegmentReference
    merged_segment_ids: tuple[str, ...]

    def apply(self, head: ClaimHead) -> ClaimHead:
        """Return ``head`` with the spilled records replaced by a segment reference."""
        spilled = set(self.segment.records)
        return ClaimHead(
            records=tuple(r for r in head.records if r not in spilled),
            segments=(
                *(
                    r
                    for r in head.segments
                    if r.segment_id not in self.merged_segment_ids
                ),
                self.reference,
            ),
        )


def drop_expired(head: ClaimHead, now: float) -> ClaimHead:
    """Return ``head`` without the records and segments that have expired."""
    return ClaimHead(
        records=tuple(r for r in head.records if r.expires_at > now),
        segments=tuple(s for s in head.segments if s.expires_at > now),
    )


def expired_answer_claim_ids(view: ShardView, now: float) -> tuple[str, ...]:
    """Return the expired claims whose answers are stored separately."""
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

    An answer and an unknown outcome are final, so only a claim without an outcome
    gets one. A claim that was withdrawn before its write was confirmed may have no
    record. It then gets a NOT_RUN record, so that a pending write of it conflicts.
    """
    claim = outcome.record
    current = view.find(claim.key_digest)
    if current is None or current.is_claimable:
        is_applicable = outcome.state is ClaimState.NOT_RUN
    else:
        is_pending = current.state is ClaimState.CLAIMED
        is_applicable = is_pending and current.claim_id == claim.claim_id
    if not is_applicable:
        return head
    others = (r for r in head.records if r.key_digest != claim.key_digest)
    return ClaimHead((*others, record_with_outcome(outcome)), head.segments)


def record_with_outcome(outcome: OutcomeReported) -> ClaimRecord:
    """Return the record of a claim, updated with its outcome."""
    return msgspec.structs.replace(
        outcome.record, state=outcome.state, answer=outcome.answer
    )


def plan_spill(view: ShardView, head: ClaimHead) -> Spill | None:
    """Plan to spill the older half of ``head`` if it exceeds its maximum size.

    Segments no larger than the spilled records are merged into the new segment, so
    the number of segments stays logarithmic in the number of records.
    """
    if len(head.records) < 2 or len(encode_head(head)) <= MAX_SHARD_HEAD_BYTES:
        return None
    older = head.records[: len(head.records) // 2]
    records_by_key = {record.key_digest: record for record in older}
    size = len(encode_segment(Segment(older)))
    merged_segment_ids: list[str] = []
    for reference in reversed(head.segments):
        records = view.records_by_segment_id[reference.segment_id]
        other_size = len(encode_segment(Segment(tuple(records.values()))))
        if other_size > size or size + other_size > MAX_SEGMENT_BYTES:
            break
        records_by_key = {**records, **records_by_key}
        size += other_size
        merged_segment_ids.append(reference.segment_id)
    segment = Segment(tuple(records_by_key.values()))
    return Spill(segment, _make_reference(segment), tuple(merged_segment_ids))


def _make_reference(segment: Segment) -> SegmentReference:
    """Return a reference named by the content, which makes writes idempotent."""
    content = encode_segment(segment)
    return SegmentReference(
        segment_id=blake2b(content, digest_size=SEGMENT_ID_BYTES).hexdigest(),
        expires_at=max(record.expires_at for record in segment.records),
    )
