"""A roll-out of one service as one host knows it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthhollow.decisions.rollout_verdict import Evidence
from amaranthhollow.decisions.rollouts import Rollout, Stage
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.rollout_allowance import RolloutAllowance
    from amaranthhollow.entry.rollout_answers import RolloutAnswers

__all__ = ["ServiceRollout"]


@dataclass
class ServiceRollout:
    """A roll-out of one service as this host knows it.

    ``credit`` is what of a request the new version is owed in the present step.
    A usable engine of the new version has not failed. ``old_busy_at`` is when requests
    were last reported at others. The test uses the ``canaries``. ``unused_since`` is
    when no engine that the roll-out bars was listed any more.
    """

    rollout: Rollout
    answers: RolloutAnswers
    allowance: RolloutAllowance
    credit: float = 0.0
    evidence: Evidence = field(default_factory=Evidence)
    is_in_touch: bool = True
    has_target: bool = False
    has_others: bool = True
    engines: int = 0
    canaries: frozenset[str] = frozenset()
    unused_since: float | None = None
    is_lifted: bool = False
    barred_target: str | None = None
    has_usable_target: bool = False
    old_busy_at: float = field(default_factory=now)
    evaluated_at: float = 0.0

    @property
    def bars_target(self) -> bool:
        """Whether this host may send nothing to the new version now."""
        stage = self.rollout.stage
        if not self.has_others or self.is_lifted or stage is Stage.COMPLETED:
            return False
        if stage is Stage.ROLLED_BACK or not self.is_in_touch:
            return True
        return stage is Stage.TEST and not self.allowance.has_room

    @property
    def bars_others(self) -> bool:
        """Whether the engines of other versions are about to be stopped."""
        stage = self.rollout.stage
        return stage is Stage.COMPLETED and self.has_target and not self.is_lifted

    @property
    def is_moved(self) -> bool:
        """Whether engines of other versions get nothing but what they have begun."""
        return self.rollout.stage is Stage.FULL and self.has_usable_target

    def may_test_on(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint, if of the new version, takes part in its test."""
        if self.rollout.stage is not Stage.TEST:
            return True
        is_target = endpoint.listed.software_version == self.rollout.target
        return not is_target or endpoint.host in self.canaries

    @property
    def prefers_target(self) -> bool:
        """Whether the next request should go to the new version."""
        stage = self.rollout.stage
        return stage is Stage.TEST or self.credit + stage.share >= 1.0
