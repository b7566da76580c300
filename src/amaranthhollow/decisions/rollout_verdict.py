"""Compares the answers of a new software version with those of the old one.

Answers are counted by the class of their time, a factor of the square root of two each,
and by series: the times of a route, or the pace of its streams. Two sequential
probability ratio tests (A. Wald, 1945) are made for each series and for all together.
One tests the share of failures, the other the mean of the logarithms of the times,
which shows half of the answers at three times their usual time far sooner than a
threshold does. The old version's answers since the order tell what is usual, so that
old engines that are faulty do not count against the new version.

A version may turn bad after a while, so the tests are also made over the last seconds
alone, in the manner of E. S. Page's cumulative sums (1954). ``BAD_RATIO`` allows for
these repeated looks.

Example::

    evidence = compare(old, new, recent=(last_two_seconds,))
    evidence.verdict is Verdict.BAD
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from math import floor, log, log2
from typing import TYPE_CHECKING, Annotated

import msgspec

from amaranthhollow.decoding import Number

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = [
    "FAILED",
    "PACE_BIT",
    "AnswerCounts",
    "EngineCounts",
    "Evidence",
    "Verdict",
    "add_counts",
    "add_engine_counts",
    "compare",
    "subtract_counts",
    "time_class",
]

# The class of an answer that failed.
FAILED = 63
MAX_TIME_CLASS = 60
SHORTEST_SECONDS = 0.001
CLASSES_PER_DOUBLING = 2
# A sound version may fail in a few answers, and in as many as the old one and a half.
MIN_FAILED_SHARE = 0.04
FAILED_EXCESS = 0.22
# Set in the series of the pace of a route's streams, beside that of its times.
PACE_BIT = 0x8000
# By how many classes a sound version's times may exceed the old one's in the mean: 27%.
# While its engines take over the load with caches that are still cold, 46% in the pace,
# and 87% in the times, since requests then wait for prompts that are read anew.
USUAL_MARGIN = 0.7
WARMING_PACE_MARGIN = 1.1
WARMING_TIME_MARGIN = 1.8
# Half of the answers at three times their time raise the mean by 1.6 classes.
SLOW_EXCESS = 1.0
# A single answer that hung for long says no more than one that took four times as long.
MAX_DISTANCE = 4
MIN_DEVIATION = 1.0
# Odds of a false alarm of 1 in 1,500 for each test, since about 30 are made.
BAD_RATIO = log(1500.0)
# Odds of 1 in 100 that a bad version passes, and of 1 in 12 for the answers of a single
# series, which are fewer.
GOOD_RATIO = -log(100.0)
GOOD_SERIES_RATIO = -log(12.0)
# Fewer answers of all hosts say little, even if none is bad.
MIN_LEANING_ANSWERS = 20
# Series with less traffic than this share are judged with all others together.
MIN_SERIES_SHARE = 0.05
# Without so many answers of the old version its times say little.
MIN_OLD_ANSWERS = 10
# With fewer engines, one that is faulty cannot be told from a bad version.
MIN_ENGINES_TO_EXCUSE_ONE = 3
# Failures beyond the usual share that end a roll-out whatever the other tests say. The
# reports of peers are up to 2 s old, so the 50th may have occurred when 30 are known.
MAX_EXCESS = 30

Class = Annotated[int, msgspec.Meta(ge=0, le=FAILED)]
Series = Annotated[int, msgspec.Meta(ge=0, le=0xFFFF)]
Counts = dict[Series, dict[Class, Number]]
"""Answers by series and class."""

EngineCounts = dict[Series, Counts]
"""Answers by engine, series and class; engines are named by hashes."""


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """The answers to one host since an order, as reports carry them.

    ``token`` names the order. ``new`` is by engine; its keys and those of the series
    are hashes of names. ``exposed`` is how many requests the host has sent to the new
    version, of ``requests`` in all.
    """

    token: Number
    old: Counts
    new: EngineCounts
    exposed: Number = 0
    requests: Number = 0


class Verdict(Enum):
    """What the answers say of the new version."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True)
class Evidence:
    """The verdict, and the figures that it rests on.

    ``log_ratio`` is that of the test that speaks most for a bad version: of failures
    or of times, in one ``series`` (None for all together), with its ``answers``
    of ``total`` to all requests.
    """

    verdict: Verdict = Verdict.UNDECIDED
    log_ratio: float = 0.0
    answers: int = 0
    failures: int = 0
    series: int | None = None
    kind: str = ""
    total: int = 0

    @property
    def leans_good(self) -> bool:
        """Whether there are enough answers, and no test speaks for a bad version."""
        return self.total >= MIN_LEANING_ANSWERS and self.log_ratio < 0


@dataclass(frozen=True)
class _Usual:
    """What is usual in a series, by the answers of the old version."""

    failed_share: float
    mean: float | None
    deviation: float = MIN_DEVIATION


def time_class(seconds: float) -> int:
    """Return the class of the time of an answer; it rises by 2 for twice the time."""
    ratio = max(seconds, SHORTEST_SECONDS) / SHORTEST_SECONDS
    return min(MAX_TIME_CLASS, floor(CLASSES_PER_DOUBLING * log2(ratio)))


def add_counts(total: Counts, counts: Mapping[int, Mapping[int, int]]) -> None:
    """Add counts to a total."""
    for series, by_class in counts.items():
        known = total.setdefault(series, {})
        for index, count in by_class.items():
            known[index] = known.get(index, 0) + count


def add_engine_counts(
    total: EngineCounts, counts: Mapping[int, Mapping[int, Mapping[int, int]]]
) -> None:
    """Add counts by engine to a total."""
    for engine, by_series in counts.items():
        add_counts(total.setdefault(engine, {}), by_series)


def subtract_counts(later: EngineCounts, earlier: EngineCounts) -> EngineCounts:
    """Return the answers that came after ``earlier``."""
    rest: EngineCounts = {}
    for engine, by_series in later.items():
        known_by_series = earlier.get(engine, {})
        for series, by_class in by_series.items():
            known = known_by_series.get(series, {})
            differences = {i: n - known.get(i, 0) for i, n in by_class.items()}
            counts = {i: n for i, n in differences.items() if n > 0}
            if counts:
                rest.setdefault(engine, {})[series] = counts
    return rest


def compare(
    old: Counts,
    new: EngineCounts,
    recent: Iterable[EngineCounts] = (),
    *,
    untimed: EngineCounts | None = None,
    has_load_risen: bool = False,
    is_warming: bool = False,
) -> Evidence:
    """Return what the answers of a new version say of it, against those of the old.

    ``recent`` are its answers of the last seconds, for spans of several lengths. Their
    times are not compared if the load has risen, nor are those of the answers in
    ``untimed``: the old version's earlier times do not tell what is usual then. One
    engine may be faulty, so the answers of the worst one do not count unless there are
    few engines. While the version ``is_warming``, it may be slower.
    """
    usual = _usual_by_series(old)
    timed = subtract_counts(new, untimed) if untimed else new
    excuses = len(new) >= MIN_ENGINES_TO_EXCUSE_ONE
    tests = list(_tests(usual, new, timed, excuses, is_warming))
    for part in recent:
        timed = {} if has_load_risen else part
        found = _tests(usual, part, timed, excuses, is_warming)
        tests += [test for test in found if test.log_ratio >= BAD_RATIO]
    strongest = max(tests, key=lambda test: test.log_ratio, default=Evidence())
    total = _answer_count(new)
    strongest = replace(strongest, total=total)
    if strongest.log_ratio >= BAD_RATIO:
        return replace(strongest, verdict=Verdict.BAD)
    for part in (new, *recent):
        excess = _excess(usual, part, excuses)
        if excess >= MAX_EXCESS:
            answers, failures = _answer_count(part), round(excess)
            return Evidence(Verdict.BAD, 0.0, answers, failures, None, "excess", total)
    if _is_good(old, tests):
        return replace(strongest, verdict=Verdict.GOOD)
    return strongest


def _answer_count(new: EngineCounts) -> int:
    return sum(
        sum(by_class.values())
        for by_series in new.values()
        for series, by_class in by_series.items()
        if not series & PACE_BIT
    )


def _excess(usual: Mapping[int, _Usual], new: EngineCounts, excuses: bool) -> float:
    """Return how many failures exceed the usual share, without the worst engine."""
    by_engine = {
        engine: sum(
            by_class.get(FAILED, 0)
            - sum(by_class.values()) * _usual_of(usual, series).failed_share
            for series, by_class in by_series.items()
            if not series & PACE_BIT
        )
        for engine, by_series in new.items()
    }
    return _sum(by_engine, excuses)


def _sum(by_engine: Mapping[int, float], excuses: bool) -> float:
    """Return the sum over engines, without the one that speaks most for a bad version.

    That one is left out only if ``excuses``.
    """
    total = sum(by_engine.values())
    return total - max([0.0, *by_engine.values()]) if excuses else total


def _usual_of(usual: Mapping[int, _Usual], series: int) -> _Usual:
    return usual.get(series) or _Usual(MIN_FAILED_SHARE, None)


def _is_good(old: Counts, tests: list[Evidence]) -> bool:
    """Return whether every test that matters speaks for a good version."""
    by_name = {(test.series, test.kind): test.log_ratio for test in tests}
    total = sum(sum(by_class.values()) for by_class in old.values())
    if any(by_name.get((None, kind), 0.0) > GOOD_RATIO for kind in ("failed", "slow")):
        return False
    frequent = [
        series
        for series, by_class in old.items()
        if sum(by_class.values()) >= max(MIN_OLD_ANSWERS, MIN_SERIES_SHARE * total)
    ]
    return all(
        by_name.get((series, kind), 0.0) <= GOOD_SERIES_RATIO
        for series in frequent
        for kind in ("failed", "slow")
        if kind == "slow" or not series & PACE_BIT
    )


def _tests(
    usual: Mapping[int, _Usual],
    new: EngineCounts,
    timed: EngineCounts,
    excuses: bool,
    is_warming: bool,
) -> Iterable[Evidence]:
    """Yield the tests of failures and of times, by series and of all series."""
    yield from _failure_tests(usual, new, excuses)
    yield from _time_tests(usual, timed, excuses, is_warming)


def _failure_tests(
    usual: Mapping[int, _Usual], new: EngineCounts, excuses: bool
) -> Iterable[Evidence]:
    answers_by_series: dict[int | None, dict[int, tuple[int, int]]] = {}
    expected = 0.0
    for engine, by_series in new.items():
        for series, by_class in by_series.items():
            count, failed = sum(by_class.values()), by_class.get(FAILED, 0)
            if series & PACE_BIT or not count:
                continue
            expected += count * _usual_of(usual, series).failed_share
            answers_by_series.setdefault(series, {})[engine] = (count, failed)
            by_engine = answers_by_series.setdefault(None, {})
            known = by_engine.get(engine, (0, 0))
            by_engine[engine] = (known[0] + count, known[1] + failed)
    for name, by_engine in answers_by_series.items():
        answers = sum(count for count, _ in by_engine.values())
        failures = sum(failed for _, failed in by_engine.values())
        share = expected / answers
        if name is not None:
            share = _usual_of(usual, name).failed_share
        ratios = {e: _failure_ratio(*counts, share) for e, counts in by_engine.items()}
        ratio = _sum(ratios, excuses)
        yield Evidence(Verdict.UNDECIDED, ratio, answers, failures, name, "failed")


def _time_tests(
    usual: Mapping[int, _Usual], new: EngineCounts, excuses: bool, is_warming: bool
) -> Iterable[Evidence]:
    ratios_by_series: dict[int | None, dict[int, float]] = {}
    answers: dict[int | None, int] = {}
    for engine, by_series in new.items():
        for series, by_class in by_series.items():
            expected = _usual_of(usual, series)
            count = sum(by_class.values()) - by_class.get(FAILED, 0)
            if expected.mean is None or not count:
                continue
            margin = USUAL_MARGIN
            if is_warming:
                is_pace = series & PACE_BIT
                margin = WARMING_PACE_MARGIN if is_pace else WARMING_TIME_MARGIN
            ratio = _slow_ratio(by_class, expected, margin)
            for name in (series, None):
                by_engine = ratios_by_series.setdefault(name, {})
                by_engine[engine] = by_engine.get(engine, 0.0) + ratio
                answers[name] = answers.get(name, 0) + count
    for name, by_engine in ratios_by_series.items():
        ratio = _sum(by_engine, excuses)
        yield Evidence(Verdict.UNDECIDED, ratio, answers[name], 0, name, "slow")


def _failure_ratio(count: int, failed: int, share: float) -> float:
    raised = min(0.95, share + FAILED_EXCESS)
    return failed * log(raised / share) + (count - failed) * log(
        (1 - raised) / (1 - share)
    )


def _slow_ratio(by_class: Mapping[int, int], expected: _Usual, margin: float) -> float:
    """Return the log ratio of a mean raised by ``SLOW_EXCESS`` to one that is not."""
    ratio = 0.0
    for index, count in by_class.items():
        if index < FAILED:
            distance = _bounded(index - expected.mean) - margin
            ratio += count * (distance * SLOW_EXCESS - SLOW_EXCESS**2 / 2)
    return ratio / expected.deviation**2


def _usual_by_series(old: Counts) -> dict[int, _Usual]:
    return {series: _usual(by_class) for series, by_class in old.items()}


def _usual(by_class: Mapping[int, int]) -> _Usual:
    """Return what the answers of the old version say is usual in a series.

    Its mean is that of times which are bounded as those of the new version are.
    """
    total = sum(by_class.values())
    times = {i: n for i, n in by_class.items() if i < FAILED}
    timed = sum(times.values())
    share = (total - timed) / total if total else 0.0
    failed_share = min(0.7, max(MIN_FAILED_SHARE, 1.5 * share + MIN_FAILED_SHARE / 2))
    if timed < MIN_OLD_ANSWERS:
        return _Usual(failed_share, None)
    median = _median(times)
    bounded = {i: median + _bounded(i - median) for i in times}
    mean = sum(n * bounded[i] for i, n in times.items()) / timed
    variance = sum(n * (bounded[i] - mean) ** 2 for i, n in times.items()) / timed
    return _Usual(failed_share, mean, max(MIN_DEVIATION, variance**0.5))


def _bounded(distance: float) -> float:
    return max(-MAX_DISTANCE, min(MAX_DISTANCE, distance))


def _median(times: Mapping[int, int]) -> int:
    needed, reached = sum(times.values()) / 2, 0
    for index in sorted(times):
        reached += times[index]
        if reached >= needed:
            return index
    return 0
