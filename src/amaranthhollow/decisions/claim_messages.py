"""Events that the claim writer handles, and actions that it returns."""

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
    from amaranthhollow.decisions.store_position import StorePosition

__all__ = [
    "Action",
    "ClaimRequested",
    "ClaimHeld",
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
    "StoreRestored",
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
    """A caller sent a non-idempotent request, to be claimed with ``record``."""

    record: ClaimRecord


@dataclass(frozen=True)
class ClaimWithdrawn:
    """A claim was withdrawn before it was granted; its request was not run."""

    record: ClaimRecord


@dataclass(frozen=True)
class OutcomeReported:
    """A granted request was answered or not run, or its outcome is unknown."""

    record: ClaimRecord
    state: ClaimState
    answer: Answer | None = None


@dataclass(frozen=True)
class ClaimHeld:
    """Another daemon made this claim or its outcome durable for this one."""

    record: ClaimRecord


@dataclass(frozen=True)
class StoreRestored:
    """The service returned from an older copy, which may lack claims granted since."""


@dataclass(frozen=True)
class HeadLoaded:
    """The service returned the shard's head.

    ``position`` is None if the shard has none yet in the current era of the service;
    ``head`` is then the newest one of an earlier era, or empty.
    """

    head: ClaimHead
    position: StorePosition | None


@dataclass(frozen=True)
class SegmentsLoaded:
    """The service returned segments, without those that were deleted."""

    segments_by_id: Mapping[str, Segment]


@dataclass(frozen=True)
class SegmentWritten:
    """The service has stored a segment."""

    segment_id: str


@dataclass(frozen=True)
class WriteSucceeded:
    """The head was written and is now at ``position``."""

    position: StorePosition


@dataclass(frozen=True)
class WriteConflicted:
    """The head was not written, because it had changed."""


@dataclass(frozen=True)
class WriteUncertain:
    """The answer to a head write was lost; the write may still take effect later."""


@dataclass(frozen=True)
class ServiceFailed:
    """A call to the service failed and changed nothing."""


@dataclass(frozen=True)
class RetryDue:
    """The time set by ``ScheduleRetry`` has been reached."""


@dataclass(frozen=True)
class LoadHead:
    """Read the shard's head."""


@dataclass(frozen=True)
class LoadSegments:
    """Read segments; a single ``SegmentsLoaded`` returns them all."""

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
    """Write the head if its position is still ``expected_position``."""

    head: ClaimHead
    expected_position: StorePosition | None


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
    """The key already has an answer: return the one recorded in ``original``."""

    claim_id: str
    original: ClaimRecord


@dataclass(frozen=True)
class OutcomeDurable:
    """The service has stored the outcome of a claim."""

    claim_id: str


@dataclass(frozen=True)
class ScheduleRetry:
    """Deliver ``RetryDue`` at the time ``at``, in seconds since the Unix epoch."""

    at: float


Event = (
    ClaimRequested
    | ClaimWithdrawn
    | OutcomeReported
    | ClaimHeld
    | StoreRestored
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
