"""Estimates from samples how many engines are needed to read prompts in time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import ceil, exp

__all__ = ["DemandEstimate"]

# With half of the engines busy, a request waits about as long as reading it takes.
TARGET_UTILIZATION = 0.45
# On-demand engines cost several times as much and are only used for a short time, so
# they run at a higher utilization.
ON_DEMAND_TARGET_UTILIZATION = 0.8
RISE_TIME_CONSTANT_SECONDS = 1.0
FALL_TIME_CONSTANT_SECONDS = 10.0


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
