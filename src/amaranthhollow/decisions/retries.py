"""Decides whether a failed attempt is retried and what its caller may be told."""

from __future__ import annotations

from collections import deque
from enum import Enum

__all__ = ["AttemptFailure", "Outcome", "RetryBudget"]

# Room for requests of one host that are counted in another window than its own.
SHARE_MARGIN = 0.8


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


class RetryBudget:
    """Bounds the repeats of one service over all hosts, by this host's part of them.

    In each window of ``window_seconds`` all hosts together may send ``ratio``
    repeats for each request and ``slack`` besides. Each host keeps to its own
    requests' part and to its part of the slack; what a silent host leaves unused
    is not used by the others.
    """

    def __init__(self, ratio: float, slack: float, window_seconds: float) -> None:
        """Start with no request counted."""
        self._ratio = ratio * SHARE_MARGIN
        self._slack = slack * SHARE_MARGIN
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request of a client."""
        self._requests.append(now)
        self._expire(now)

    def remaining(self, hosts: int, now: float) -> float:
        """Return how many repeats may be sent now, with ``hosts`` sharing the slack."""
        self._expire(now)
        allowed = self._ratio * len(self._requests) + self._slack / max(1, hosts)
        return allowed - len(self._repeats)

    def try_spend(self, hosts: int, now: float) -> bool:
        """Take one repeat, with ``hosts`` sharing the slack, if there is room."""
        if self.remaining(hosts, now) < 1:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for instants in (self._requests, self._repeats):
            while instants and instants[0] <= now - self._window_seconds:
                instants.popleft()
