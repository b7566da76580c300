"""Daemons of two versions keep the guarantees during upgrades and rollbacks.

``AMARANTHHOLLOW_SOAK_UPGRADE_SEEDS=1-50`` runs other seeds than the default one.
"""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

import pytest

from tests.compatibility.earlier_build import EARLIER_COMMITS, extract_source
from tests.entry.entry_site import EntrySite
from tests.networks import next_network
from tests.soak.test_soak import HOST_NUMBERS, SoakRun

if TYPE_CHECKING:
    from pathlib import Path

UPGRADES_AT_SECONDS = (1.0, 3.0, 5.0)
PLANS = ("upgrade", "half", "rollback")


def cases() -> list[tuple[str, int]]:
    """Return a commit for each seed, the default ones or those of the environment."""
    named = os.environ.get("AMARANTHHOLLOW_SOAK_UPGRADE_SEEDS", "1")
    first, _, last = named.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    return [(EARLIER_COMMITS[seed % len(EARLIER_COMMITS)], seed) for seed in seeds]


class UpgradeSoak(SoakRun):
    """A soak whose hosts run an earlier version first, and are replaced one by one.

    By its plan all are upgraded, or one stays, or one is rolled back and then upgraded.
    """

    def __init__(self, site: EntrySite, seed: int, source: Path) -> None:
        super().__init__(site, seed)
        self.source = source
        self.plan = PLANS[seed % len(PLANS)]
        self.earlier = set(HOST_NUMBERS)
        self.earlier_since: dict[int, float] = {}
        self.concurrent_faults = 1

    def start_daemon(self, number: int) -> None:
        self._end_earlier_run(number)
        is_earlier = number in self.earlier
        if is_earlier:
            self.earlier_since[number] = time.monotonic()
        source = self.source if is_earlier else None
        self.site.start_daemon(self.host_name(number), number, source=source)

    def _end_earlier_run(self, number: int) -> None:
        """Excuse an earlier version from the rules that are newer than it."""
        since = self.earlier_since.pop(number, None)
        if since is not None:
            self.stops.append((self.address(number), since, time.monotonic()))

    async def run_scenario(self) -> None:
        await super().run_scenario()
        for number in HOST_NUMBERS:
            self._end_earlier_run(number)

    async def run_planned_work(self) -> None:
        """Replace hosts by those of the other version, one after the other."""
        started_at = time.monotonic()
        steps = [(number, False) for number in HOST_NUMBERS]
        if self.plan == "half":
            steps = steps[:2]
        if self.plan == "rollback":
            steps = [steps[0], (HOST_NUMBERS[0], True), *steps]
        for at, (number, is_earlier) in zip(
            (*UPGRADES_AT_SECONDS, 6.0, 7.0), steps, strict=False
        ):
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            while number in self.faulty_hosts:
                await asyncio.sleep(0.02)
            self.faulty_hosts.add(number)
            replaced_at = time.monotonic()
            await self.stop_daemon(number)
            self.earlier.discard(number)
            if is_earlier:
                self.earlier.add(number)
            self.start_daemon(number)
            self.excuse((number,), replaced_at)
            self.stops.append((self.address(number), replaced_at, time.monotonic()))
            self.faulty_hosts.discard(number)


@pytest.fixture
async def site(tmp_path):
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    yield site
    await site.close()


@pytest.mark.parametrize(("commit", "seed"), cases())
async def test_guarantees_hold_during_an_upgrade(site, tmp_path, commit, seed):
    soak = UpgradeSoak(site, seed, extract_source(commit, tmp_path / "earlier"))
    await soak.start()
    await soak.run_scenario()

    assert soak.violations() == []
    assert soak.duty_violations() == []
    assert soak.limit_violations() == []
    assert soak.stream_violations() == []
    assert soak.statement_violations() == []
    assert len(soak.recovery_requests) >= len(soak.callers)
