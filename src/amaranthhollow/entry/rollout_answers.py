"""Counts the answers of two software versions at one host, and adds those of peers."""

from __future__ import annotations

from collections import deque
from zlib import crc32

from amaranthhollow.decisions.rollout_load import RolloutLoad
from amaranthhollow.decisions.rollout_verdict import (
    FAILED,
    PACE_BIT,
    AnswerCounts,
    Counts,
    EngineCounts,
    Evidence,
    add_counts,
    add_engine_counts,
    compare,
    subtract_counts,
    time_class,
)

__all__ = ["RolloutAnswers", "route_series"]

SERIES_MASK = PACE_BIT - 1
SNAPSHOT_SECONDS = 0.5
# A version that turns bad shows in the answers of these last seconds.
RECENT_SECONDS = (2.0, 4.0)
# A rise in load is noticed within this time, in which it already slows answers down.
RISE_SECONDS = 1.5


def route_series(route: str, *, is_pace: bool = False) -> int:
    """Return the series of a route, the same at all hosts."""
    return crc32(route.encode()) & SERIES_MASK | (PACE_BIT if is_pace else 0)


class RolloutAnswers:
    """The answers since one order, of this host and of its peers."""

    def __init__(self, token: int, rollback_seconds: float = 5.0) -> None:
        """Start without answers to the order with ``token``.

        Failures are counted over ``rollback_seconds`` among other spans.
        """
        self._token = token
        self._spans = (*RECENT_SECONDS, rollback_seconds)
        self._old: Counts = {}
        self._new: EngineCounts = {}
        self._untimed: EngineCounts = {}
        self._evaluated: EngineCounts = {}
        self._is_untimed = False
        self._load = RolloutLoad()
        self._counts_by_process: dict[str, AnswerCounts] = {}
        self._snapshots: deque[tuple[float, EngineCounts]] = deque()

    def record(
        self, endpoint_id: str, series: int, seconds: float | None, *, is_new: bool
    ) -> None:
        """Count an answer of this host; one without ``seconds`` has failed."""
        index = FAILED if seconds is None else time_class(seconds)
        counts: Counts = {series: {index: 1}}
        if is_new:
            engine = crc32(endpoint_id.encode()) & SERIES_MASK
            add_engine_counts(self._new, {engine: counts})
        else:
            add_counts(self._old, counts)

    def own(self, exposed: int, requests: int) -> AnswerCounts:
        """Return a copy of this host's counts."""
        return AnswerCounts(
            self._token,
            {series: dict(counts) for series, counts in self._old.items()},
            _copy(self._new),
            exposed,
            requests,
        )

    def observe(self, process: str, counts: AnswerCounts) -> None:
        """Replace the counts of a peer's process, unless they are of another order."""
        if counts.token == self._token:
            self._counts_by_process[process] = counts

    @property
    def exposed_elsewhere(self) -> int:
        """The requests that peers report to have sent to the new version."""
        return sum(counts.exposed for counts in self._counts_by_process.values())

    def evaluate(
        self, requests: int, now: float, *, is_warming: bool = False
    ) -> Evidence:
        """Return what all known answers say; this host has sent ``requests``.

        If the load rises once the new version takes it over, the times of the answers
        since are left out: the old version's do not show what the load does to them.
        """
        old: Counts = {}
        new = _copy(self._new)
        add_counts(old, self._old)
        for counts in self._counts_by_process.values():
            add_counts(old, counts.old)
            add_engine_counts(new, counts.new)
            requests += counts.requests
        self._load.record(requests, now, is_reference=not is_warming)
        has_load_risen = self._load.has_risen(now)
        if has_load_risen and is_warming:
            before = self._snapshot_before(now - RISE_SECONDS)
            since = self._evaluated if self._is_untimed else before or self._evaluated
            add_engine_counts(self._untimed, subtract_counts(new, since))
        self._is_untimed = has_load_risen and is_warming
        self._evaluated = new
        recent = [
            subtract_counts(new, snapshot)
            for seconds in self._spans
            if (snapshot := self._snapshot_before(now - seconds)) is not None
        ]
        if not self._snapshots or now >= self._snapshots[-1][0] + SNAPSHOT_SECONDS:
            self._snapshots.append((now, new))
            while self._snapshots[0][0] < now - max(self._spans) - 1.0:
                self._snapshots.popleft()
        return compare(
            old,
            new,
            recent,
            untimed=self._untimed,
            has_load_risen=has_load_risen,
            is_warming=is_warming,
        )

    def _snapshot_before(self, instant: float) -> EngineCounts | None:
        found = None
        for taken_at, counts in self._snapshots:
            if taken_at <= instant:
                found = counts
        return found


def _copy(counts: EngineCounts) -> EngineCounts:
    copy: EngineCounts = {}
    add_engine_counts(copy, counts)
    return copy
