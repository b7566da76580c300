"""Daemons keep the guarantees beside odd entries and endpoints that answer wrongly.

``AMARANTHHOLLOW_SOAK_WRITERS_SEEDS=1-50`` runs other seeds than the default ones.
"""

from __future__ import annotations

import asyncio
import os
from random import Random

import pytest

from tests.entry.entry_site import EntrySite
from tests.networks import next_network
from tests.soak.other_writers import FaultyEndpoint, OddEntries
from tests.soak.test_soak import HOST_NUMBERS, SoakRun

DEFAULT_SEEDS = (1, 2)
LOSSES_AT_SECONDS = ((1.0, 3.0), (5.0, 7.5))
# An exception that nobody expected, in a task or a handler.
DEFECTS = (
    "Traceback",
    "background task failed",
    "request handler raised",
    "exception was never retrieved",
    "fetch from a peer failed",
    "check of an endpoint failed",
    "socket for peers closed",
)


def seeds() -> list[int]:
    """Return the default seeds, or those that the environment selects."""
    named = os.environ.get("AMARANTHHOLLOW_SOAK_WRITERS_SEEDS")
    if named is None:
        return list(DEFAULT_SEEDS)
    first, _, last = named.partition("-")
    return list(range(int(first), int(last or first) + 1))


class OtherWritersSoak(SoakRun):
    """A soak beside other writers, in which all hosts are lost twice."""

    endpoint_type = FaultyEndpoint

    def __init__(self, site: EntrySite, seed: int) -> None:
        super().__init__(site, seed, plays_restores=bool(seed % 2))
        self.writer_random = Random(f"writers-{seed}")
        self.odd_entries = OddEntries(site.store, self.writer_random)

    async def start(self) -> None:
        self.odd_entries.write_first()
        await super().start()
        for endpoint in self.site.endpoints.values():
            endpoint.stray_random = Random(self.writer_random.random())

    async def run_scenario(self) -> None:
        writing = asyncio.create_task(self.odd_entries.run())
        await super().run_scenario()
        writing.cancel()

    async def run_planned_work(self) -> None:
        """Lose all hosts at once, twice."""
        begun_at = asyncio.get_running_loop().time()
        for span in LOSSES_AT_SECONDS:
            at = begun_at + self.writer_random.uniform(*span)
            await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))
            await self.lose_all_hosts()

    def check(self) -> None:
        super().check()
        names = [self.host_name(number) for number in HOST_NUMBERS]
        assert all(self.site.processes[name].poll() is None for name in names)
        logs = {name: self.site.read_log(name) for name in names}
        assert [(n, d) for n, text in logs.items() for d in DEFECTS if d in text] == []
        endpoints = self.site.endpoints.values()
        assert sum(endpoint.stray_count for endpoint in endpoints)
        assert sum(endpoint.wrong_rests for endpoint in endpoints)


@pytest.fixture
async def site(tmp_path):
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    yield site
    await site.close()


# Hosts beside one odd entry served nothing after the loss of all; refusals and events
# of other requests were passed on.
@pytest.mark.parametrize("seed", seeds())
async def test_guarantees_hold_beside_other_writers(site, seed):
    soak = OtherWritersSoak(site, seed)
    await soak.start()
    await soak.run_scenario()

    soak.check()
