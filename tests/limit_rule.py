"""The operators' bound on what hosts send to an endpoint that limits them."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field

__all__ = ["LimitRecord"]

STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5


@dataclass
class LimitRecord:
    """What one endpoint that stated one limit got from which host, and when.

    Counted is what arrives in a window of four seconds, from three seconds after the
    first statement on, from hosts that had relayed it half a second before. A restart,
    freeze or cut excuses a host from its start until three seconds after its end.
    """

    rate: float
    named_at: float
    ended_at: float = float("inf")
    told_at_by_host: dict[str, float] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    excuses: list[tuple[str, float, float]] = field(default_factory=list)

    def record_told(self, host: str, at: float) -> None:
        """Record that a host relayed a response with the limit."""
        self.told_at_by_host.setdefault(host, at)

    def record_arrival(self, host: str, at: float) -> None:
        """Record a request of a host that reached the endpoint."""
        self.arrivals.append((at, host))

    def excuse(self, host: str, start: float, end: float) -> None:
        """Exclude a host while it was disturbed and until it is stable again."""
        self.excuses.append((host, start, end + STABLE_SECONDS))

    @property
    def allowed(self) -> float:
        """The most requests in one window."""
        return TOLERANCE_FACTOR * self.rate * WINDOW_SECONDS + TOLERANCE_REQUESTS

    def largest_window(self) -> int:
        """Return the most counted requests of any window."""
        counted = sorted(at for at, host in self.arrivals if self._counts(host, at))
        return max(
            (
                bisect_left(counted, start + WINDOW_SECONDS) - index
                for index, start in enumerate(counted)
            ),
            default=0,
        )

    def _counts(self, host: str, at: float) -> bool:
        told_at = self.told_at_by_host.get(host, float("inf"))
        return (
            self.named_at + STABLE_SECONDS <= at < self.ended_at
            and at >= told_at + TOLD_SECONDS
            and not any(h == host and a <= at < b for h, a, b in self.excuses)
        )
