"""The stages of a roll-out of a service to another software version.

The holder of the duties moves a roll-out on: a test with a bounded share of the
requests, two steps with growing shares in which the caches of the new engines warm up,
all requests, completion. Any host may roll it back until it is completed. A stage is
published as a fact whose version is the order and then the stage, so that a later one,
and above all the return to the old version, replaces an earlier one wherever they meet.

Times are seconds since the Unix epoch, in the time that the hosts agree on.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.rollout_verdict import Evidence, Verdict
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decoding import Label, Number

__all__ = [
    "ROLLOUT_FACT",
    "Rollout",
    "RolloutOrder",
    "RolloutView",
    "Stage",
    "advance",
    "is_repeated_order",
]

ROLLOUT_FACT = "rollout"
# A version that turns bad a few seconds after its start is found in this time.
MIN_TEST_SECONDS = 2.0
# Before the deadline, so that the steps take 2 s and streams at old engines, which last
# up to 10 s, have over 7 s to end before these engines are stopped.
RAMP_LEAD_SECONDS = 10.5
# From then on an undecided roll-out goes the way that the evidence leans.
LATE_LEAD_SECONDS = 6.0
STEP_SECONDS = 1.0
# A write to a slow store takes 0.25 s, and the next attempt after a lost one 0.5 s.
COMPLETION_LEAD_SECONDS = 1.0
# By then the other hosts know that nothing more goes to the old version.
MIN_FULL_SECONDS = 1.5
# Of a duration in milliseconds in a fact.
MAX_DURATION_MS = 86_400_000


class Stage(IntEnum):
    """The stage of a roll-out; it never decreases."""

    TEST = 0
    FIRST_STEP = 10
    SECOND_STEP = 20
    FULL = 30
    COMPLETED = 40
    ROLLED_BACK = 50

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self >= Stage.COMPLETED

    @property
    def share(self) -> float:
        """The share of the requests that the new version gets, once it is trusted."""
        return _SHARES_BY_STAGE.get(self, 0.0)

    @property
    def state(self) -> str:
        """The name of the state that operators read."""
        if not self.is_final:
            return "running"
        return "completed" if self is Stage.COMPLETED else "rolled_back"


_SHARES_BY_STAGE = {
    Stage.FIRST_STEP: 0.25,
    Stage.SECOND_STEP: 0.5,
    Stage.FULL: 1.0,
    Stage.COMPLETED: 1.0,
}


@dataclass(frozen=True)
class RolloutOrder:
    """An operator's order; ``token`` is the fencing token of its position."""

    service: str
    target: str
    duration_seconds: float
    token: int


class Rollout(msgspec.Struct, frozen=True, array_like=True):
    """A roll-out at one stage, as it is published and stored."""

    service: Label
    target: Label
    token: Number
    stage: Stage
    ordered_ms: Number
    duration_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
    since_ms: Number
    reason: Label = ""

    @property
    def ordered_at(self) -> float:
        """When the order was given, as far as known."""
        return self.ordered_ms / 1000

    @property
    def deadline(self) -> float:
        """When the roll-out has to be completed."""
        return (self.ordered_ms + self.duration_ms) / 1000

    @property
    def version(self) -> Version:
        """The version of the fact."""
        return Version(self.token, int(self.stage))

    @classmethod
    def of_order(cls, order: RolloutOrder, ordered_at: float) -> Rollout:
        """Return the first stage of an order."""
        milliseconds = round(ordered_at * 1000)
        return cls(
            order.service,
            order.target,
            order.token,
            Stage.TEST,
            milliseconds,
            round(order.duration_seconds * 1000),
            milliseconds,
        )

    def at_stage(self, stage: Stage, now: float, reason: str) -> Rollout:
        """Return the roll-out at a later stage."""
        return msgspec.structs.replace(
            self, stage=stage, since_ms=round(now * 1000), reason=reason
        )

    def to_fact(self) -> Fact:
        """Return the fact to publish."""
        value = msgspec.msgpack.encode(self)
        return Fact(ROLLOUT_FACT, self.service, self.version, value)


@dataclass(frozen=True)
class RolloutView:
    """What the holder of the duties knows of a roll-out.

    ``old_requests`` are those that any host reports at the engines of other versions;
    ``has_target`` is whether an engine of the new version is usable, and ``has_old``
    whether one of another version is listed. No requests have been reported at these
    for ``quiet_seconds``. A stage reaches all hosts within ``spread_seconds``, and what
    they report is up to ``max_age_seconds`` old.
    """

    evidence: Evidence
    old_requests: int
    has_target: bool
    has_old: bool = True
    quiet_seconds: float = float("inf")
    spread_seconds: float = 0.0
    max_age_seconds: float = 0.0


def is_repeated_order(known: Rollout, order: RolloutOrder) -> bool:
    """Return whether an order is a known one that was written again.

    Operators do so in a store that has returned from an older copy.
    """
    known_era = StorePosition.from_fencing_token(known.token).era
    era = StorePosition.from_fencing_token(order.token).era
    return (
        era > known_era
        and known.target == order.target
        and known.duration_ms == round(order.duration_seconds * 1000)
    )


def advance(rollout: Rollout, view: RolloutView, now: float) -> Rollout:
    """Return the roll-out at its next stage, or unchanged."""
    if rollout.stage.is_final:
        return rollout
    if view.evidence.verdict is Verdict.BAD:
        return rollout.at_stage(Stage.ROLLED_BACK, now, "bad answers")
    match rollout.stage:
        case Stage.TEST:
            found = _after_test(rollout, view, now)
        case Stage.FULL:
            found = _after_full(rollout, view, now)
        case _:
            found = _after_step(rollout, now)
    if found is None:
        return rollout
    stage, reason = found
    return rollout.at_stage(stage, now, reason)


def _after_test(
    rollout: Rollout, view: RolloutView, now: float
) -> tuple[Stage, str] | None:
    left = rollout.deadline - now
    if not view.has_target:
        if left <= COMPLETION_LEAD_SECONDS:
            return Stage.ROLLED_BACK, "no engine of the version"
        return None
    if not view.has_old:
        return Stage.FULL, "no engine of another version"
    has_passed = now >= rollout.ordered_at + MIN_TEST_SECONDS
    is_good = view.evidence.verdict is Verdict.GOOD
    if is_good and has_passed and left <= RAMP_LEAD_SECONDS:
        return Stage.FIRST_STEP, "good answers"
    if left > LATE_LEAD_SECONDS:
        return None
    if view.evidence.leans_good and left > COMPLETION_LEAD_SECONDS:
        return Stage.FIRST_STEP, "time is short, and answers are good so far"
    if left <= COMPLETION_LEAD_SECONDS:
        return Stage.ROLLED_BACK, "no evidence in time"
    return None


def _after_step(rollout: Rollout, now: float) -> tuple[Stage, str] | None:
    left = rollout.deadline - now
    is_late = left <= LATE_LEAD_SECONDS - 1.0
    if now < rollout.since_ms / 1000 + (STEP_SECONDS / 2 if is_late else STEP_SECONDS):
        return None
    if rollout.stage is Stage.FIRST_STEP:
        return Stage.SECOND_STEP, "still good"
    return Stage.FULL, "still good"


def _after_full(
    rollout: Rollout, view: RolloutView, now: float
) -> tuple[Stage, str] | None:
    if rollout.deadline - now <= COMPLETION_LEAD_SECONDS:
        return Stage.COMPLETED, f"deadline; {view.old_requests} requests at old engines"
    spread_at = rollout.since_ms / 1000 + view.spread_seconds
    earliest = max(
        rollout.since_ms / 1000 + MIN_FULL_SECONDS, spread_at + view.max_age_seconds
    )
    if now < earliest or view.old_requests:
        return None
    if view.quiet_seconds < view.max_age_seconds:
        return None
    return Stage.COMPLETED, "no request at old engines"
