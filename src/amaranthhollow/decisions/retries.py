"""Classifies failed attempts and limits the rate of retries."""

from __future__ import annotations

from collections import deque
from enum import Enum

__all__ = ["AttemptFailure", "Outcome", "RetryBudget"]

# Fraction of the budget that is used: the rest covers requests that the window of one
# host counts and that of another does not.
USED_FRACTION = 0.8


class Outcome(Enum):
    """Whether a request without a response was run, as far as this host can tell."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "failed"


class AttemptFailure(Enum):
    """How an attempt at an endpoint failed."""

    NOT_CONNECTED = "not connected"
    CONNECTION_LOST = "connection lost"
    ENDPOINT_ERROR = "endpoint error"
    TIMED_OUT = "timed out"


class RetryBudget:
    """Limits this host's retries to its part of a service's budget over all hosts.

    In each window of ``window_seconds`` all hosts together may send ``ratio`` retries
    for each request, and ``slack`` retries in addition. Each host uses only the ratio
    for its own requests and an equal part of the slack. What an unreachable host leaves
    unused is not passed on to the others.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        """Start with no request counted."""
        self._ratio = ratio * USED_FRACTION
        self._slack = slack * USED_FRACTION
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a first attempt of a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def remaining(self, hosts: int, now: float) -> float:
        """Return how many retries may be sent now, with ``hosts`` sharing the slack."""
        self._expire(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return allowed - len(self._retries)

    def try_spend(self, hosts: int, now: float) -> bool:
        """Spend one retry if the budget allows it, with ``hosts`` sharing the slack."""
        if self.remaining(hosts, now) < 1:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for instants in (self._requests, self._retries):
            while instants and instants[0] <= now - self._window_seconds:
                instants.popleft()
