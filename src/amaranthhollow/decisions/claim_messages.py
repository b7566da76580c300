"""Events and actions of the claim writer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthhollow.decisions.claim_records import (
        Answer,
        ClaimHead,
        ClaimRecord,
        ClaimState,
        Segment,
    )

__all__ = [
    "Action",
    "ClaimRequested",
    "ClaimWithdrawn",
    "DeleteAnswer",
    "DeleteSegment",
    "Event",
    "GrantClaim",
    "HeadLoaded",
    "LoadHead",
    "LoadSegments",
    "OutcomeDurable",
    "OutcomeReported",
    "RefuseClaim",
    "RefusalReason",
    "ReplayAnswer",
    "RetryDue",
    "SegmentsLoaded",
    "SegmentWritten",
    "ServiceFailed",
    "ScheduleRetry",
    "WriteConflicted",
    "WriteHead",
    "WriteSegment",
    "WriteSucceeded",
    "WriteUncertain",
]


class RefusalReason(Enum):
    """Why a claim was not granted."""

    SERVICE_UNAVAILABLE = "service unavailable"
    IN_PROGRESS = "in progress"
    OUTCOME_UNKNOWN = "outcome unknown"
    REQUEST_DIFFERS = "request differs"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class ClaimRequested:
    """A caller sent a non-idempotent request; ``record`` is its claim."""

    record: ClaimRecord


@dataclass(frozen=True)
class ClaimWithdrawn:
    """The caller of an ungranted claim was told that its request was not run."""

    record: ClaimRecord


@dataclass(frozen=True)
class OutcomeReported:
    """A granted claim ended: answered, not run, or unknown."""

    record: ClaimRecord
    state: ClaimState
    answer: Answer | None = None


@dataclass(frozen=True)
class HeadLoaded:
    """The service returned the shard's head; revision 0 if it has none."""

    head: ClaimHead
    revision: int


@dataclass(frozen=True)
class SegmentsLoaded:
    """The service returned segments; those that were deleted are absent."""

    segments_by_id: Mapping[str, Segment]


@dataclass(frozen=True)
class SegmentWritten:
    """A segment is durable."""

    segment_id: str


@dataclass(frozen=True)
class WriteSucceeded:
    """The head was written and is now at ``revision``."""

    revision: int


@dataclass(frozen=True)
class WriteConflicted:
    """The head was not written: its revision had moved."""


@dataclass(frozen=True)
class WriteUncertain:
    """The answer to a head write was lost; it may take effect even later."""


@dataclass(frozen=True)
class ServiceFailed:
    """A call to the service failed and changed nothing."""


@dataclass(frozen=True)
class RetryDue:
    """The instant asked for with ``ScheduleRetry`` has come."""


@dataclass(frozen=True)
class LoadHead:
    """Read the shard's head."""


@dataclass(frozen=True)
class LoadSegments:
    """Read segments; the answer is one ``SegmentsLoaded``."""

    segment_ids: tuple[str, ...]


@dataclass(frozen=True)
class WriteSegment:
    """Create a segment."""

    segment_id: str
    segment: Segment


@dataclass(frozen=True)
class DeleteSegment:
    """Delete a segment whose records have all expired."""

    segment_id: str


@dataclass(frozen=True)
class DeleteAnswer:
    """Delete the separately stored answer of an expired claim."""

    claim_id: str


@dataclass(frozen=True)
class WriteHead:
    """Write the head if it is still at ``expected_revision``."""

    head: ClaimHead
    expected_revision: int


@dataclass(frozen=True)
class GrantClaim:
    """The claim is durable: the request may be sent to an endpoint."""

    claim_id: str


@dataclass(frozen=True)
class RefuseClaim:
    """The claim was not granted; the request must not be sent."""

    claim_id: str
    reason: RefusalReason


@dataclass(frozen=True)
class ReplayAnswer:
    """The key was answered before: return the recorded answer."""

    claim_id: str
    original: ClaimRecord


@dataclass(frozen=True)
class OutcomeDurable:
    """The outcome of a claim is in the service."""

    claim_id: str


@dataclass(frozen=True)
class ScheduleRetry:
    """Send ``RetryDue`` at this instant."""

    at: float


Event = (
    ClaimRequested
    | ClaimWithdrawn
    | OutcomeReported
    | HeadLoaded
    | SegmentsLoaded
    | SegmentWritten
    | WriteSucceeded
    | WriteConflicted
    | WriteUncertain
    | ServiceFailed
    | RetryDue
)
Action = (
    LoadHead
    | LoadSegments
    | WriteSegment
    | DeleteAnswer
    | DeleteSegment
    | WriteHead
    | GrantClaim
    | RefuseClaim
    | ReplayAnswer
    | OutcomeDurable
    | ScheduleRetry
)
