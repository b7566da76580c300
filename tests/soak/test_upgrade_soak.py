"""Daemons of two versions keep the guarantees during upgrades and rollbacks.

``AMARANTHHOLLOW_SOAK_UPGRADE_SEEDS=1-50`` runs other seeds than the default ones.
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

STEPS_AT_SECONDS = (1.0, 3.0, 5.0, 6.0, 7.0)
DEFAULT_SEEDS = (1, 3)
PLANS = ("upgrade", "half", "rollback", "loss")


def cases() -> list[tuple[str, int]]:
    """Return a commit for each seed, the default ones or those of the environment."""
    seeds = DEFAULT_SEEDS
    if named := os.environ.get("AMARANTHHOLLOW_SOAK_UPGRADE_SEEDS"):
        first, _, last = named.partition("-")
        seeds = range(int(first), int(last or first) + 1)
    return [(EARLIER_COMMITS[seed % len(EARLIER_COMMITS)], seed) for seed in seeds]


class UpgradeSoak(SoakRun):
    """A soak whose hosts run an earlier version first, and are replaced one by one.

    By its plan all are upgraded, or one stays, or one is rolled back and then upgraded,
    or all are lost at once while one has been upgraded.
    """

    def __init__(
        self, site: EntrySite, seed: int, source: Path, *, plays_restores: bool
    ) -> None:
        super().__init__(site, seed, plays_restores=plays_restores)
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
        super().start_daemon(number, source)

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
        match self.plan:
            case "half":
                steps = steps[:2]
            case "rollback":
                steps = [steps[0], (HOST_NUMBERS[0], True), *steps]
            case "loss":
                steps[1:1] = [None]
        for at, step in zip(STEPS_AT_SECONDS, steps, strict=False):
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            match step:
                case (number, is_earlier):
                    await self.replace_host(number, is_earlier)
                case None:
                    await self.lose_all_hosts()

    async def replace_host(self, number: int, is_earlier: bool) -> None:
        """Shut a host down, and start it in one of the two versions."""
        await self._await_faults((number,))
        replaced_at = time.monotonic()
        await self.stop_daemon(number)
        self.earlier.discard(number)
        if is_earlier:
            self.earlier.add(number)
        self.start_daemon(number)
        self._end_disturbance((number,), replaced_at)


@pytest.fixture
async def site(tmp_path):
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    yield site
    await site.close()


@pytest.mark.parametrize(("commit", "seed"), cases())
@pytest.mark.parametrize("plays_restores", [False, True])
async def test_guarantees_hold_during_an_upgrade(
    site, tmp_path, commit, seed, plays_restores
):
    source = extract_source(commit, tmp_path / "earlier")
    soak = UpgradeSoak(site, seed, source, plays_restores=plays_restores)
    await soak.start()
    await soak.run_scenario()

    soak.check()
