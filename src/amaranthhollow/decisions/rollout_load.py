"""Tells whether a service's load has risen since its roll-out was ordered."""

from __future__ import annotations

from collections import deque

__all__ = ["RolloutLoad"]

# Of the requests of all hosts, as their reports are known.
SPAN_SECONDS = 1.0
# The first reports of the other hosts come within this time, in which the count rises.
REPORTS_SECONDS = 2.0
RISE = 1.15
DEVIATIONS = 2.0
# Answers of the longest span that is judged may have been slowed by the load.
HOLD_SECONDS = 5.0


class RolloutLoad:
    """The rate of a service's requests, against that while the version was tested.

    Example: the load has risen for some seconds when the rate has doubled::

        load.record(requests, now, is_reference=False)
        load.has_risen(now)
    """

    def __init__(self) -> None:
        """Start without any request."""
        self._samples: deque[tuple[float, int]] = deque()
        self._started_at: float | None = None
        self._first: tuple[float, int] | None = None
        self._reference: float | None = None
        self._risen_until = float("-inf")

    def record(self, requests: int, now: float, *, is_reference: bool) -> None:
        """Record the number of requests since the order, which hosts have reported.

        The usual rate is that of the samples with ``is_reference``.
        """
        if self._started_at is None:
            self._started_at = now
        if now < self._started_at + REPORTS_SECONDS:
            return
        if self._first is None:
            self._first = (now, requests)
        self._samples.append((now, requests))
        while len(self._samples) > 1 and self._samples[1][0] <= now - SPAN_SECONDS:
            self._samples.popleft()
        at, count = self._samples[0]
        if now - at < SPAN_SECONDS:
            return
        if self._reference is not None:
            usual = self._reference * (now - at)
            if requests - count > RISE * usual + DEVIATIONS * usual**0.5:
                self._risen_until = now + HOLD_SECONDS
        if is_reference or self._reference is None:
            first_at, first_count = self._first
            self._reference = (requests - first_count) / (now - first_at)

    def has_risen(self, now: float) -> bool:
        """Return whether the rate has been higher than usual in the last seconds."""
        return now < self._risen_until
