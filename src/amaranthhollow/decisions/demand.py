"""Estimates from sampled loads how many engines are busy reading prompts."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import ceil, exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.choice import EndpointLoad

__all__ = ["DemandEstimate", "busy_engines"]

# Pending prompt tokens that keep one engine busy; a larger number at one engine counts
# as work for more engines. An engine reads this many in about a third of a second.
BACKLOG_TOKENS = 20_000
MAX_BUSY_PER_ENGINE = 3.0
# With half of the engines busy, a request waits about as long as reading it takes.
TARGET_UTILIZATION = 0.45
# On-demand engines cost several times as much and are only used for a short time, so
# they run at a higher utilization.
ON_DEMAND_TARGET_UTILIZATION = 0.8
RISE_TIME_CONSTANT_SECONDS = 1.0
FALL_TIME_CONSTANT_SECONDS = 10.0


def busy_engines(loads: Iterable[EndpointLoad]) -> float:
    """Return how many engines the pending prompts would keep busy."""
    return sum(
        min(MAX_BUSY_PER_ENGINE, max(1.0, load.pending_tokens / BACKLOG_TOKENS))
        for load in loads
        if load.pending_tokens
    )


@dataclass(frozen=True)
class DemandEstimate:
    """An exponential moving average of samples that rises fast and falls slowly.

    It starts from the number of engines that the operator provided, and remains there
    until the first traffic is observed (``has_traffic``).
    """

    busy: float
    sampled_at: float
    has_traffic: bool = False

    @classmethod
    def from_engines(cls, engines: int, now: float) -> DemandEstimate:
        """Return the estimate that needs exactly ``engines`` engines."""
        return cls(engines * TARGET_UTILIZATION, now)

    def with_sample(self, busy: float, now: float) -> DemandEstimate:
        """Return the estimate after another sample."""
        has_traffic = self.has_traffic or busy > 0
        if not has_traffic:
            return replace(self, sampled_at=now)
        elapsed = max(0.0, now - self.sampled_at)
        time_constant = (
            RISE_TIME_CONSTANT_SECONDS
            if busy > self.busy
            else FALL_TIME_CONSTANT_SECONDS
        )
        weight = 1.0 - exp(-elapsed / time_constant)
        return DemandEstimate(self.busy + weight * (busy - self.busy), now, True)

    @property
    def needed_engines(self) -> int:
        """The number of engines that keeps the wait of requests short."""
        return ceil(self.busy / TARGET_UTILIZATION)

    @property
    def needed_with_on_demand(self) -> int:
        """The number of engines that suffices while on-demand ones are in use."""
        return ceil(self.busy / ON_DEMAND_TARGET_UTILIZATION)
