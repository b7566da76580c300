"""State of the writer of one shard of claims."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.claim_messages import Action, OutcomeReported
    from amaranthhollow.decisions.claim_records import ClaimRecord
    from amaranthhollow.decisions.claim_shard import Batch, ShardView, Spill

__all__ = ["Phase", "ShardState", "Step", "WaitingClaim", "count_unwritten"]


class Phase(Enum):
    """What the writer of a shard is waiting for."""

    IDLE = "idle"
    LOADING_HEAD = "loading head"
    LOADING_SEGMENTS = "loading segments"
    WRITING_SEGMENT = "writing segment"
    WRITING_HEAD = "writing head"


@dataclass(frozen=True)
class WaitingClaim:
    """A claim not yet written.

    ``is_rechecked``: the head was read again since the claim was requested.
    """

    record: ClaimRecord
    is_rechecked: bool = False


@dataclass(frozen=True)
class ShardState:
    """State of one shard's writer in one daemon.

    ``uncertain_claim_ids`` holds the claims in head writes that got no answer: such
    a write may have taken effect, or may still do so.
    """

    phase: Phase = Phase.IDLE
    view: ShardView | None = None
    waiting: tuple[WaitingClaim, ...] = ()
    outcomes: tuple[OutcomeReported, ...] = ()
    batch: Batch | None = None
    uncertain_claim_ids: frozenset[str] = frozenset()
    spill: Spill | None = None
    retry_at: float = 0.0
    claims_due_at: float = 0.0
    outcomes_due_at: float = 0.0

    @property
    def due_at(self) -> float:
        """The instant from which the next write may go out."""
        return self.claims_due_at if self.waiting else self.outcomes_due_at


@dataclass(frozen=True)
class Step:
    """A new state and the actions to carry out, in order."""

    state: ShardState
    actions: tuple[Action, ...] = ()

    def then(self, other: Step) -> Step:
        """Return the later state ``other`` with the actions of both."""
        return Step(other.state, self.actions + other.actions)


def count_unwritten(states: Iterable[ShardState]) -> int:
    """Count claims and outcomes that the service does not hold yet."""
    return sum(
        len(state.waiting)
        + len(state.outcomes)
        + (len(state.batch.claims) + len(state.batch.outcomes) if state.batch else 0)
        for state in states
    )
