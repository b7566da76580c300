"""Logs what a host refuses in the time after its start, second by second."""

from __future__ import annotations

from collections import Counter

import logbook

__all__ = ["RefusalLog"]

LOGGED_SECONDS = 30.0
MAX_REASONS = 12

log = logbook.Logger("requests")


class RefusalLog:
    """Counts responses by reason, and logs the counts of each second after a start.

    Lines of single requests are bounded and dropped under load; these are not.
    """

    def __init__(self, started_at: float) -> None:
        """Log from ``started_at`` on, on the monotonic clock."""
        self._started_at = started_at
        self._second = 0
        self._refused: Counter[str] = Counter()
        self._answered = 0

    def record_refused(self, reason: str, now: float) -> None:
        """Count a request that got no response of an endpoint."""
        self.flush(now)
        if self._is_logging(now):
            self._refused[reason] += 1

    def record_answered(self, now: float) -> None:
        """Count a request that got the response of an endpoint."""
        self.flush(now)
        if self._is_logging(now):
            self._answered += 1

    def flush(self, now: float) -> None:
        """Log the counts of the last second once it is over."""
        second = int(now - self._started_at)
        if second == self._second:
            return
        if self._refused:
            log.info(
                "refused after the start",
                extra={
                    "second": self._second,
                    "answered": self._answered,
                    "by_reason": dict(self._refused.most_common(MAX_REASONS)),
                },
            )
        self._second = second
        self._refused.clear()
        self._answered = 0

    def _is_logging(self, now: float) -> bool:
        return now - self._started_at < LOGGED_SECONDS
