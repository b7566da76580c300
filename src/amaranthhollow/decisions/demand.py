"""Estimates how many engines are busy reading prompts, from sampled loads."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import ceil, exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.choice import EndpointLoad

__all__ = ["DemandEstimate", "busy_engines"]

# Prompt tokens that wait at a busy engine beyond this are work for another one; about
# a third of a second of reading on engines of today's sites (system page, engines).
BACKLOG_TOKENS = 20_000
MAX_BACKLOG = 3.0
# Requests wait about as long as they are read when half of the engines are busy.
TARGET_UTILIZATION = 0.45
# Engines on demand are several times as dear, and are given back soon: they are kept
# busier than others.
FALLBACK_TARGET_UTILIZATION = 0.8
RISE_SECONDS = 1.0
FALL_SECONDS = 10.0


def busy_engines(loads: Iterable[EndpointLoad]) -> float:
    """Return how many engines the prompts that wait now would keep busy."""
    return sum(
        min(MAX_BACKLOG, max(1.0, load.pending_tokens / BACKLOG_TOKENS))
        for load in loads
        if load.pending_tokens
    )


@dataclass(frozen=True)
class DemandEstimate:
    """A mean of samples that rises fast and falls slowly.

    It starts from what the operator has provided, which stands until traffic shows
    what is needed: ``has_traffic`` tells whether any was seen.
    """

    busy: float
    sampled_at: float
    has_traffic: bool = False

    @classmethod
    def from_engines(cls, engines: int, now: float) -> DemandEstimate:
        """Return the estimate for a site whose engines are provided as needed."""
        return cls(engines * TARGET_UTILIZATION, now)

    def with_sample(self, busy: float, now: float) -> DemandEstimate:
        """Return the estimate after one more sample."""
        has_traffic = self.has_traffic or busy > 0
        if not has_traffic:
            return replace(self, sampled_at=now)
        elapsed = max(0.0, now - self.sampled_at)
        span = RISE_SECONDS if busy > self.busy else FALL_SECONDS
        weight = 1.0 - exp(-elapsed / span)
        return DemandEstimate(self.busy + weight * (busy - self.busy), now, True)

    @property
    def needed_engines(self) -> int:
        """How many engines keep requests from waiting long."""
        return ceil(self.busy / TARGET_UTILIZATION)

    @property
    def needed_with_fallback(self) -> int:
        """How many engines are enough while dear ones have to stand in."""
        return ceil(self.busy / FALLBACK_TARGET_UTILIZATION)
