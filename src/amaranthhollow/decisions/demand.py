"""Estimates how many engines are busy reading prompts, from sampled loads."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.choice import SentLoad

__all__ = ["DemandEstimate", "busy_engines"]

# Prompt tokens that wait at a busy engine beyond this are work for another one; about
# a third of a second of reading on engines of today's sites (system page, engines).
BACKLOG_TOKENS = 20_000
MAX_BACKLOG = 3.0
# Requests wait about as long as they are read when half of the engines are busy.
BUSY_SHARE = 0.45
RISE_SECONDS = 1.0
FALL_SECONDS = 10.0


def busy_engines(loads: Iterable[SentLoad]) -> float:
    """Return how many engines the prompts that wait now would keep busy."""
    return sum(
        min(MAX_BACKLOG, max(1.0, load.pending_tokens / BACKLOG_TOKENS))
        for load in loads
        if load.pending_tokens
    )


@dataclass(frozen=True)
class DemandEstimate:
    """A mean of samples that rises fast and falls slowly."""

    busy: float = 0.0
    sampled_at: float | None = None

    def sampled(self, busy: float, now: float) -> DemandEstimate:
        """Return the estimate after one more sample."""
        if self.sampled_at is None:
            return DemandEstimate(busy, now)
        elapsed = max(0.0, now - self.sampled_at)
        span = RISE_SECONDS if busy > self.busy else FALL_SECONDS
        weight = 1.0 - exp(-elapsed / span)
        return DemandEstimate(self.busy + weight * (busy - self.busy), now)

    @property
    def needed_engines(self) -> int:
        """How many engines keep requests from waiting long."""
        return ceil(self.busy / BUSY_SHARE)
