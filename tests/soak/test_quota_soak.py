"""Seeded days of kills, cuts, wrong clocks and lost messages, and what quotas admit.

``AMARANTHHOLLOW_SOAK_QUOTA_SEEDS=1-50`` plays the days of those seeds.
"""

from __future__ import annotations

import os
from random import Random

import pytest

from tests.entry.virtual_site import BOUNDS, VirtualSite

DEFAULT_SEEDS = "1-4"
TROUBLES = 10
# By then all hosts reach each other, and an overdraft has ended with its window.
SETTLING_SECONDS = 12.0
CALM_SECONDS = 8.0
WINDOW_SECONDS = 8.0


def chosen_seeds() -> list[int]:
    text = os.environ.get("AMARANTHHOLLOW_SOAK_QUOTA_SEEDS", DEFAULT_SEEDS)
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


class Day:
    """A site, and the troubles that a seed draws for it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
        self.random = Random(seed)
        self.site = VirtualSite(
            monkeypatch,
            host_count=self.random.choice([3, 6, 9]),
            demand=0.6,
            loss=self.random.choice([0.0, 0.02, 0.1]),
            seed=seed,
        )
        self.names = list(self.site.daemons)

    def some_hosts(self) -> list[str]:
        return self.random.sample(self.names, self.random.randint(1, len(self.names)))

    def kill(self) -> None:
        """Kill hosts, and start them again with clocks that may be wrong."""
        names = [name for name in self.some_hosts() if name in self.site.daemons]
        for name in names:
            self.site.kill(name)
        self.site.run(self.random.uniform(0.6, 3.0))
        for name in names:
            error = self.random.choice([0.0, 0.0, -30.0, -2.0, 2.0, 30.0])
            self.site.clock_errors[name] = error
            self.site.start(name)

    def cut(self) -> None:
        self.site.cut_off = set(self.some_hosts())
        self.site.run(self.random.choice([0.5, 3.0, 12.0, 20.0, 65.0]))
        self.site.cut_off = set()

    def kill_within_a_cut(self) -> None:
        self.site.cut_off = set(self.some_hosts())
        self.kill()
        self.site.run(self.random.uniform(0.0, 20.0))
        self.site.cut_off = set()

    def play(self) -> None:
        for _ in range(TROUBLES):
            self.site.run(self.random.uniform(0.5, 12.0))
            self.random.choice([self.kill, self.cut, self.kill_within_a_cut])()


def most_in_a_window(admitted: list[tuple[float, str]], cost: float) -> float:
    """Return the most that was admitted within one window of the quota."""
    most, first = 0, 0
    for last, (at, _) in enumerate(admitted):
        while admitted[first][0] < at - WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most * cost


@pytest.mark.parametrize("seed", chosen_seeds())
def test_quota_holds_and_serves_after_each_day(monkeypatch, seed):
    day = Day(monkeypatch, seed)
    site = day.site
    day.play()
    site.run(SETTLING_SECONDS)
    settled_at = site.now
    site.run(CALM_SECONDS)

    assert site.rejections(since=settled_at) == 0
    quota = site.quota
    allowed = quota.rate_per_second * WINDOW_SECONDS + quota.burst
    allowed = allowed * (1 + BOUNDS.quota_over) + BOUNDS.quota_slack
    assert most_in_a_window(site.admitted, site.cost) <= allowed
