"""Counts the requests that endpoints started, by window of the wall clock."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from amaranthhollow.decoding import Label, Number

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = [
    "RETAINED_WINDOWS",
    "CountsByWindow",
    "UsageCounts",
    "merge_counts",
    "sum_counts",
]

# A window must be reported before this many later windows have ended.
RETAINED_WINDOWS = 5

CountsByWindow = dict[Number, dict[Label, Number]]


class UsageCounts:
    """Counts the requests that started through this host, by window and workspace."""

    def __init__(self, window_seconds: float) -> None:
        """Count in windows of ``window_seconds`` since the Unix epoch."""
        self.window_seconds = window_seconds
        self._counts_by_window: dict[int, Counter[str]] = {}

    def window_at(self, wall_time: float) -> int:
        """Return the number of the window that contains ``wall_time``."""
        return int(wall_time // self.window_seconds)

    def record_started(self, workspace: str, wall_time: float) -> None:
        """Count a request that an endpoint started at ``wall_time``."""
        window = self.window_at(wall_time)
        self._counts_by_window.setdefault(window, Counter())[workspace] += 1
        for old in [
            w for w in self._counts_by_window if w <= window - RETAINED_WINDOWS
        ]:
            del self._counts_by_window[old]

    def report(self, windows: int = RETAINED_WINDOWS) -> CountsByWindow:
        """Return the counts of the latest ``windows`` windows."""
        latest = sorted(self._counts_by_window)[-windows:]
        return {w: dict(self._counts_by_window[w]) for w in latest}


def merge_counts(previous: CountsByWindow, newer: CountsByWindow) -> CountsByWindow:
    """Return a process's counts updated by a newer report of its latest windows."""
    merged = {**previous, **newer}
    return {w: merged[w] for w in sorted(merged)[-RETAINED_WINDOWS:]}


def sum_counts(
    window: int, reports: Iterable[Mapping[int, Mapping[str, int]]]
) -> dict[str, int]:
    """Return the sums by workspace of one window over several hosts' reports."""
    total: Counter[str] = Counter()
    for report in reports:
        total.update(report.get(window, {}))
    return dict(total)
