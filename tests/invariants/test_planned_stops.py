"""Every planned stop is a graceful shutdown that interrupts no request."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from tests.callers import AUTHORIZATION, complete, prompt
from tests.site import example_sources

pytestmark = pytest.mark.invariant


class Balancer:
    """Picks only daemons that report ready, as the platform's load balancer does."""

    def __init__(self, site, names):
        self.site = site
        self.ready = list(names)
        self.names = names
        self._next = 0

    async def run(self):
        while True:
            self.ready = [n for n in self.names if await self._is_ready(n)]
            await asyncio.sleep(0.1)

    async def _is_ready(self, name):
        try:
            async with self.site.session.get(f"{self.site.url(name)}/ready") as reply:
                return reply.status == 200
        except OSError:
            return False

    def pick(self):
        self._next += 1
        return self.ready[self._next % len(self.ready)]


async def run_load(site, balancer, seconds):
    """Send lookups and streams; return those that were interrupted or rejected."""
    deadline = time.monotonic() + seconds
    failures = []

    async def send_lookups(number):
        while time.monotonic() < deadline:
            name = balancer.pick()
            url = f"{site.url(name)}/services/filings/status/{number}"
            try:
                async with site.session.get(url, headers=AUTHORIZATION) as response:
                    if response.status != 201:
                        failures.append((name, response.status, await response.text()))
            except OSError as error:
                failures.append((name, repr(error)))
            await asyncio.sleep(0.01)

    async def stream(number):
        while time.monotonic() < deadline:
            answer = await complete(site, balancer.pick(), prompt(number), 80)
            if not answer.is_done or answer.tokens != 80:
                failures.append((answer.daemons, answer.status, answer.tokens))

    await asyncio.gather(
        *(send_lookups(number) for number in range(6)), *(stream(n) for n in range(6))
    )
    return failures


async def stop_process(site, name):
    process = site.processes_by_name[name]
    process.send(signal.SIGTERM)
    return await asyncio.to_thread(process.wait)


@pytest.fixture
async def four_daemons(pair):
    """The site of ``pair`` with two more daemons."""
    for name in ("entry-3", "entry-4"):
        await pair.start_daemon(name)
        await pair.until(lambda name=name: sees_all_endpoints(pair, name), "endpoints")
    return pair


async def sees_all_endpoints(site, name):
    return len((await site.state(name))["endpoints_by_host"]) == 4


async def test_stop_one_daemon_and_then_two_at_once_under_load(four_daemons):
    names = ["entry-1", "entry-2", "entry-3", "entry-4"]
    balancer = Balancer(four_daemons, names)
    balancing = asyncio.create_task(balancer.run())
    load = asyncio.create_task(run_load(four_daemons, balancer, 7.0))
    await asyncio.sleep(0.5)
    codes = [await stop_process(four_daemons, "entry-1")]
    codes += await asyncio.gather(
        stop_process(four_daemons, "entry-2"), stop_process(four_daemons, "entry-3")
    )
    failures = await load
    balancing.cancel()
    assert failures == []
    assert codes == [0, 0, 0]


async def test_stop_during_an_outage_of_the_platform(pair):
    balancer = Balancer(pair, ["entry-1", "entry-2"])
    balancing = asyncio.create_task(balancer.run())
    await pair.faults(pair.key_value_url, down=True)
    await pair.faults(pair.cloud_url, down=True)
    load = asyncio.create_task(run_load(pair, balancer, 4.0))
    await asyncio.sleep(0.5)
    code = await stop_process(pair, "entry-1")
    failures = await load
    balancing.cancel()
    assert failures == []
    assert code == 0


async def test_stop_during_a_configuration_change(pair, tmp_path):
    balancer = Balancer(pair, ["entry-1", "entry-2"])
    balancing = asyncio.create_task(balancer.run())
    load = asyncio.create_task(run_load(pair, balancer, 4.0))
    sources = example_sources(tmp_path / "next", claim_retention_seconds=7200)
    submitted, code = await asyncio.gather(
        pair.submit(sources, 1), stop_process(pair, "entry-1")
    )
    failures = await load
    balancing.cancel()
    assert submitted.returncode == 0
    assert failures == []
    assert code == 0


async def test_stop_during_startup(site):
    process = await site.start_daemon("entry-1", waits=False)
    await site.wait_for(f"http://{process.address}:8080/live")
    assert await stop_process(site, "entry-1") == 0


async def test_daemon_stops_on_a_notice_received_from_a_peer(pair):
    """The host list is unavailable before the daemon could read the notice."""
    process = pair.processes_by_name["entry-1"]
    process.send(signal.SIGSTOP)
    await pair.notify(["entry-1"], seconds=6.0)
    await pair.until(lambda: has_reclaim_notice(pair), "entry-2 has read the notice")
    await pair.faults(pair.cloud_url, down=True)
    process.send(signal.SIGCONT)
    assert await asyncio.to_thread(process.wait) == 0


async def has_reclaim_notice(pair):
    counters = (await pair.state("entry-2"))["counters_by_name"]
    return counters.get("hosts.reclaim_noticed", 0) > 0


async def test_drain_command_stops_a_daemon(pair):
    drained = await pair.tool("drain", "entry-2")
    assert drained.returncode == 0
    code = await asyncio.to_thread(pair.processes_by_name["entry-2"].wait)
    assert code == 0
