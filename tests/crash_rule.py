"""The operators' bounds on requests with a part of a prompt that crashes endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["CrashRecord"]

STABLE_SECONDS = 3.0
COUNTED_CRASHES = 5
MAX_LATE_ARRIVALS = 3
MIN_SOUND_REQUESTS = 20
MIN_SOUND_RATIO = 0.5


@dataclass
class CrashRecord:
    """Crashes by one part, the requests with it, and sound ones beside them.

    ``sound_first_tries`` are the time of each, and whether it began at an endpoint.
    """

    crashes: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    sound_first_tries: list[tuple[float, bool]] = field(default_factory=list)
    excuses: list[tuple[str, float, float]] = field(default_factory=list)

    def excuse(self, host: str, start: float, end: float) -> None:
        """Exclude a host while it was disturbed and until it is stable again."""
        self.excuses.append((host, start, end + STABLE_SECONDS))

    @property
    def counted_crash(self) -> float:
        """The time of the fifth crash, or of the last if there are fewer."""
        return sorted(self.crashes)[:COUNTED_CRASHES][-1]

    def late_arrivals(self) -> int:
        """Return how many requests with the part arrived after the bound."""
        if len(self.crashes) < COUNTED_CRASHES:
            return 0
        bound = self.counted_crash + STABLE_SECONDS
        return sum(
            at > bound
            and not any(h == host and a <= at < b for h, a, b in self.excuses)
            for at, host in self.arrivals
        )

    def keeps_budget(self) -> bool:
        """Return whether few enough requests with the part arrived late."""
        return self.late_arrivals() <= MAX_LATE_ARRIVALS

    def sound_shares(self, first_bad_at: float) -> tuple[float, float]:
        """Return the share of sound first tries that began, before and late."""
        late_at = self.counted_crash + 2 * STABLE_SECONDS
        before = [began for at, began in self.sound_first_tries if at < first_bad_at]
        late = [began for at, began in self.sound_first_tries if at >= late_at]
        assert len(before) >= MIN_SOUND_REQUESTS
        assert len(late) >= MIN_SOUND_REQUESTS
        return sum(before) / len(before), sum(late) / len(late)

    def keeps_sound_requests(self, first_bad_at: float) -> bool:
        """Return whether sound requests begin at least half as often as before."""
        before, late = self.sound_shares(first_bad_at)
        return late >= MIN_SOUND_RATIO * before
