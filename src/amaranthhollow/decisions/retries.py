"""Decides whether a failed attempt is retried and what its caller may be told."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["AttemptFailure", "Outcome", "RetryBudget"]

BUDGET_RATIO = 0.1
BUDGET_FLOOR = 20.0
BUDGET_CEILING = 100.0


class Outcome(Enum):
    """What is known of a request that was not answered."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "failed"


class AttemptFailure(Enum):
    """How an attempt at an endpoint failed."""

    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "connection lost"
    ENDPOINT_ERROR = "endpoint error"
    TIMED_OUT = "timed out"


@dataclass(frozen=True)
class RetryBudget:
    """Bounds retries to a share of the requests, whichever layer asks for them.

    Example::

        budget = RetryBudget().earned()
        retried = budget.spent()  # None once the budget is used up
    """

    tokens: float = BUDGET_FLOOR

    def earned(self) -> RetryBudget:
        """Return the budget after one more request."""
        return RetryBudget(min(BUDGET_CEILING, self.tokens + BUDGET_RATIO))

    def spent(self) -> RetryBudget | None:
        """Return the budget after one more retry, or None if it has no room."""
        if self.tokens < 1.0:
            return None
        return RetryBudget(self.tokens - 1.0)
