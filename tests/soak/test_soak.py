"""Daemons keep the promises of the users' pages under series of faults.

``AMARANTHHOLLOW_SOAK_SEEDS=1-50`` plays other seeds than the few of every run.
"""

from __future__ import annotations

import asyncio
import os
import signal
from collections import Counter
from random import Random

import pytest

from tests.conftest import next_network
from tests.entry.entry_site import ENDPOINT_PORT, EntrySite
from tests.soak.callers import Asked, Caller, check
from tests.soak.endpoint import SoakEndpoint
from tests.soak.proxy import Link, Proxy

SECONDS = 8.0
CALM_SECONDS = 4.0
CALLERS_EACH = 3
LANES = 2
HOSTS = (21, 22, 23)
ENDPOINTS = (31, 32, 33)
# What is to be served again after the last fault (rules page, RECOVER).
RECOVERED_SHARE = 0.25
STORE_FAULTS = ("down", "refuse_connections", "is_silent")


# Seed 19 once found a stream with a gap: the proxy passed bytes on after lost ones.
USUAL_SEEDS = (1, 19)


def seeds() -> list[int]:
    """Return the seeds to play: a few, or those that the environment names."""
    named = os.environ.get("AMARANTHHOLLOW_SOAK_SEEDS")
    if named is None:
        return list(USUAL_SEEDS)
    first, _, last = named.partition("-")
    return list(range(int(first), int(last or first) + 1))


class Soak:
    """One site, its faults and its callers."""

    def __init__(self, site: EntrySite, seed: int) -> None:
        self.site = site
        self.random = Random(seed)
        self.proxies: list[Proxy] = []
        self.callers: list[Caller] = []
        self.stopped_codes: list[int] = []
        self.calm: list[Asked] = []
        self.version = 1
        self.busy_hosts: set[int] = set()

    def name(self, number: int) -> str:
        return f"host-{number}"

    async def start(self) -> None:
        for number in ENDPOINTS:
            endpoint = SoakEndpoint(f"e{number}", random=Random(self.random.random()))
            self.site.endpoints[f"e{number}"] = endpoint
            address = f"{self.site.network}.{number}"
            await endpoint.start(address, ENDPOINT_PORT)
            proxy = Proxy((address, ENDPOINT_PORT))
            await proxy.start(f"{self.site.network}.{number + 100}", ENDPOINT_PORT)
            self.proxies.append(proxy)
            front = f"{self.site.network}.{number + 100}"
            self.site.put_endpoint_entry(f"e{number}", front, "plain-app", slots=50)
        for number in HOSTS:
            self.site.start_daemon(self.name(number), number)
        for number in HOSTS:
            await self.site.wait_ready(f"{self.site.network}.{number}")

    async def play(self) -> None:
        """Ask all the while, with faults first and then none."""
        over = asyncio.Event()
        for number in HOSTS:
            for index in range(CALLERS_EACH):
                random = Random(self.random.random())
                address = f"{self.site.network}.{number}"
                caller = Caller(f"c{number}-{index}", address, random)
                self.callers.append(caller)
        asking = [asyncio.create_task(caller.run(over)) for caller in self.callers]
        ends_at = asyncio.get_running_loop().time() + SECONDS
        await asyncio.gather(*(self.faults_until(ends_at) for _ in range(LANES)))
        await self.heal()
        before = [len(caller.asked) for caller in self.callers]
        await asyncio.sleep(CALM_SECONDS)
        self.calm = [
            asked
            for caller, start in zip(self.callers, before, strict=True)
            for asked in caller.asked[start:]
        ]
        over.set()
        await asyncio.gather(*asking)

    async def faults_until(self, ends_at: float) -> None:
        """Bring one fault about after another; other lanes do so at the same time."""
        while asyncio.get_running_loop().time() < ends_at:
            free = [number for number in HOSTS if number not in self.busy_hosts]
            number = self.random.choice(free)
            self.busy_hosts.add(number)
            await self.fault(number)
            self.busy_hosts.discard(number)

    async def fault(self, number: int) -> None:
        process = self.site.processes[self.name(number)]
        pause = self.random.uniform(0.1, 1.0)
        match self.random.randrange(6):
            case 0:
                process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(pause)
                process.send_signal(signal.SIGCONT)
            case 1:
                process.kill()
                await asyncio.to_thread(process.wait)
                await asyncio.sleep(pause)
                self.site.start_daemon(self.name(number), number)
            case 2:
                await self.stop(number)
                self.site.start_daemon(self.name(number), number)
            case 3:
                self.random.choice(self.proxies).change(self.random.choice(list(Link)))
                await asyncio.sleep(pause)
            case 4:
                fault = self.random.choice(STORE_FAULTS)
                self.site.store.faults[fault] = True
                await asyncio.sleep(pause)
                self.site.store.faults[fault] = False
            case 5:
                self.version += 1
                self.site.configure(self.version)
                await asyncio.sleep(pause / 4)

    async def stop(self, number: int) -> None:
        """Stop a daemon as planned; one that has not begun may just end."""
        process = self.site.processes[self.name(number)]
        is_up = await self.site.ready_status(f"{self.site.network}.{number}") != 0
        process.terminate()
        code = await asyncio.to_thread(process.wait, 15)
        if is_up:
            self.stopped_codes.append(code)

    async def heal(self) -> None:
        for proxy in self.proxies:
            proxy.change(Link.SOUND)
        for endpoint in self.site.endpoints.values():
            endpoint.share_bad = 1e-9
        for number in HOSTS:
            await self.site.wait_ready(f"{self.site.network}.{number}")

    def findings(self) -> list[str]:
        """Return every broken promise."""
        runs = Counter(
            arrival.request_id
            for endpoint in self.site.endpoints.values()
            for arrival in endpoint.ran
        )
        asked = [item for caller in self.callers for item in caller.asked]
        found = [text for item in asked for text in check(item, runs[item.request_id])]
        sent = {item.request_id for item in asked}
        found += [f"{name} was sent by nobody" for name in runs if name not in sent]
        found += [f"a stop ended with {code}" for code in self.stopped_codes if code]
        served = [a for a in self.calm if a.answer and a.answer.status == 200]
        if len(served) < RECOVERED_SHARE * len(self.calm):
            found.append(f"{len(served)} of {len(self.calm)} served after the faults")
        return found


@pytest.mark.parametrize("seed", seeds())
async def test_promises_are_kept_under_faults(tmp_path, seed):
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    try:
        soak = Soak(site, seed)
        await soak.start()
        await soak.play()
        assert soak.findings() == []
        assert len(soak.calm) >= len(soak.callers)
    finally:
        await site.close()
