"""State of the claim writer of one shard."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from amaranthhollow.decisions.claim_messages import Action, OutcomeReported
    from amaranthhollow.decisions.claim_records import ClaimRecord
    from amaranthhollow.decisions.claim_shard import Batch, ShardView, Spill

__all__ = [
    "HeldRecord",
    "Phase",
    "ShardState",
    "StepResult",
    "WaitingClaim",
    "count_unwritten",
]


class Phase(Enum):
    """The call to the service that a shard's writer is waiting for."""

    IDLE = "idle"
    LOADING_HEAD = "loading head"
    LOADING_SEGMENTS = "loading segments"
    WRITING_SEGMENT = "writing segment"
    WRITING_HEAD = "writing head"


@dataclass(frozen=True)
class WaitingClaim:
    """A claim that is not written yet.

    ``is_head_reread`` is true if the head was read after the claim was requested.
    """

    record: ClaimRecord
    is_head_reread: bool = False


@dataclass(frozen=True)
class HeldRecord:
    """A durable record that is kept in memory in case the service loses it.

    Dropped at ``expires_at``, when every copy that the service may return from has it.
    """

    record: ClaimRecord
    expires_at: float


@dataclass(frozen=True)
class ShardState:
    """State of the writer of one shard in one daemon.

    ``uncertain_claim_ids`` holds the claims in head writes that got no answer: such
    a write may have taken effect, or may still do so. ``held_by_key`` are the recent
    records that this daemon has made durable. After the service has returned from an
    older copy, they are written again (``is_rewrite_due``), and no claim is granted
    before ``grants_from``, so that all daemons can write theirs.
    """

    phase: Phase = Phase.IDLE
    view: ShardView | None = None
    waiting: tuple[WaitingClaim, ...] = ()
    outcomes: tuple[OutcomeReported, ...] = ()
    batch: Batch | None = None
    uncertain_claim_ids: frozenset[str] = frozenset()
    spill: Spill | None = None
    retry_at: float = 0.0
    claim_write_due_at: float = 0.0
    outcome_write_due_at: float = 0.0
    held_by_key: Mapping[bytes, HeldRecord] = field(default_factory=dict)
    is_rewrite_due: bool = False
    is_view_outdated: bool = False
    grants_from: float = 0.0

    @property
    def write_due_at(self) -> float:
        """The time from which the next head write may be sent."""
        return self.claim_write_due_at if self.waiting else self.outcome_write_due_at


@dataclass(frozen=True)
class StepResult:
    """The new state, and the actions to execute in order."""

    state: ShardState
    actions: tuple[Action, ...] = ()

    def then(self, other: StepResult) -> StepResult:
        """Return the state of ``other`` with the actions of both, these first."""
        return StepResult(other.state, self.actions + other.actions)


def count_unwritten(states: Iterable[ShardState]) -> int:
    """Count the claims and outcomes that are not stored in the service yet."""
    return sum(
        len(state.waiting)
        + len(state.outcomes)
        + (len(state.batch.claims) + len(state.batch.outcomes) if state.batch else 0)
        for state in states
    )
