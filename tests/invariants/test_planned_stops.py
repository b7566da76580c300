"""Every planned stop is a graceful shutdown that interrupts no request."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from tests.callers import AUTHORIZATION, stream_completion, unique_prompt
from tests.site import write_example_configuration

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
            answer = await stream_completion(
                site, balancer.pick(), unique_prompt(number), 80
            )
            if not answer.is_complete or answer.token_count != 80:
                failures.append((answer.daemons, answer.status, answer.token_count))

    await asyncio.gather(
        *(send_lookups(number) for number in range(6)), *(stream(n) for n in range(6))
    )
    return failures


async def stop_process(site, name):
    process = site.processes_by_name[name]
    process.deliver_signal(signal.SIGTERM)
    return await asyncio.to_thread(process.wait)


@pytest.fixture
async def four_daemon_site(configured_site):
    """The configured site with two more daemons."""
    for name in ("entry-3", "entry-4"):
        await configured_site.start_daemon(name)
        await configured_site.wait_until(
            lambda name=name: lists_all_endpoints(configured_site, name),
            "the daemon lists four endpoints",
        )
    return configured_site


async def lists_all_endpoints(site, name):
    return len((await site.daemon_state(name))["endpoints_by_host"]) == 4


async def test_stop_one_daemon_and_then_two_at_once_under_load(four_daemon_site):
    names = ["entry-1", "entry-2", "entry-3", "entry-4"]
    balancer = Balancer(four_daemon_site, names)
    balancing = asyncio.create_task(balancer.run())
    load = asyncio.create_task(run_load(four_daemon_site, balancer, 7.0))
    await asyncio.sleep(0.5)
    codes = [await stop_process(four_daemon_site, "entry-1")]
    codes += await asyncio.gather(
        stop_process(four_daemon_site, "entry-2"),
        stop_process(four_daemon_site, "entry-3"),
    )
    failures = await load
    balancing.cancel()
    assert failures == []
    assert codes == [0, 0, 0]


async def test_stop_during_an_outage_of_the_platform(configured_site):
    balancer = Balancer(configured_site, ["entry-1", "entry-2"])
    balancing = asyncio.create_task(balancer.run())
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    await configured_site.set_faults(configured_site.cloud_url, down=True)
    load = asyncio.create_task(run_load(configured_site, balancer, 4.0))
    await asyncio.sleep(0.5)
    code = await stop_process(configured_site, "entry-1")
    failures = await load
    balancing.cancel()
    assert failures == []
    assert code == 0


async def test_stop_during_a_configuration_change(configured_site, tmp_path):
    balancer = Balancer(configured_site, ["entry-1", "entry-2"])
    balancing = asyncio.create_task(balancer.run())
    load = asyncio.create_task(run_load(configured_site, balancer, 4.0))
    sources = write_example_configuration(
        tmp_path / "next", claim_retention_seconds=7200
    )
    submitted, code = await asyncio.gather(
        configured_site.submit_sources(sources, 1),
        stop_process(configured_site, "entry-1"),
    )
    failures = await load
    balancing.cancel()
    assert submitted.returncode == 0
    assert failures == []
    assert code == 0


async def test_stop_during_startup(site):
    process = await site.start_daemon("entry-1", wait_until_ready=False)
    await site.wait_for_url(f"http://{process.address}:8080/live")
    assert await stop_process(site, "entry-1") == 0


async def test_daemon_stops_on_a_notice_received_from_a_peer(configured_site):
    """The host list is unavailable before the daemon could read the notice."""
    process = configured_site.processes_by_name["entry-1"]
    process.deliver_signal(signal.SIGSTOP)
    await configured_site.announce_reclaim(["entry-1"], seconds=6.0)
    await configured_site.wait_until(
        lambda: has_reclaim_notice(configured_site), "entry-2 has read the notice"
    )
    await configured_site.set_faults(configured_site.cloud_url, down=True)
    process.deliver_signal(signal.SIGCONT)
    assert await asyncio.to_thread(process.wait) == 0


async def has_reclaim_notice(configured_site):
    counters = (await configured_site.daemon_state("entry-2"))["counters_by_name"]
    return counters.get("hosts.reclaim_noticed", 0) > 0


async def test_drain_command_stops_a_daemon(configured_site):
    drained = await configured_site.run_cli("drain", "entry-2")
    assert drained.returncode == 0
    code = await asyncio.to_thread(configured_site.processes_by_name["entry-2"].wait)
    assert code == 0
