"""Hosts of this version and of an earlier one, side by side."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest

from tests.compatibility.earlier_build import EARLIER_COMMITS, extract_source
from tests.entry.entry_site import EntrySite
from tests.networks import next_network
from tests.standins.scripted_endpoint import plain_response

HOSTS = ("host-1", "host-2", "host-3")
MEET_SECONDS = 6.0
LIMIT_PER_SECOND = 2.0


class MixedSite:
    """Three hosts, each of this version or of an earlier one."""

    def __init__(self, site, source):
        self.site = site
        self.source = source
        self.addresses = {}

    async def start(self, name, *, is_earlier, store_address=None):
        number = 21 + HOSTS.index(name)
        source = self.source if is_earlier else None
        self.addresses[name] = self.site.start_daemon(
            name, number, source=source, store_address=store_address
        )
        await self.site.wait_ready(self.addresses[name])

    async def replace(self, name, *, is_earlier):
        process = self.site.processes[name]
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, 15)
        await self.start(name, is_earlier=is_earlier)

    def reachable_counts(self):
        """Return how many others each host reaches by its newest line, by name."""
        counts = {}
        for name in self.addresses:
            lines = map(json.loads, self.site.read_log(name).splitlines())
            found = [
                line.get("reachable", 0)
                for line in lines
                if line.get("event") in ("started", "reachable hosts changed")
            ]
            counts[name] = found[-1] if found else 0
        return counts

    async def wait_until_all_meet(self):
        expected = dict.fromkeys(self.addresses, len(self.addresses) - 1)
        try:
            async with asyncio.timeout(MEET_SECONDS):
                while self.reachable_counts() != expected:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            assert self.reachable_counts() == expected

    async def send(self, name, count=1):
        address = self.addresses[name]
        responses = [
            await self.site.send_request(address, "/plain/x", f"{name}-{n}")
            for n in range(count)
        ]
        return [response.status for response in responses]


@pytest.fixture
async def site(tmp_path):
    """A site with a configuration in its store, two endpoints and no host."""
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    for number in (1, 2):
        await site.add_endpoint(f"e{number}", 10 + number)
    yield site
    await site.close()


@pytest.fixture(params=EARLIER_COMMITS)
async def mixed(site, request, tmp_path):
    return MixedSite(site, extract_source(request.param, tmp_path / "earlier"))


# Hosts of two versions could not read each other's pings, and counted as lost.
@pytest.mark.parametrize("earlier", [HOSTS[:1], HOSTS[:2], HOSTS[2:]])
async def test_hosts_of_two_versions_reach_each_other(mixed, earlier):
    for name in HOSTS:
        await mixed.start(name, is_earlier=name in earlier)

    await mixed.wait_until_all_meet()


async def test_hosts_reach_each_other_throughout_an_upgrade_and_a_rollback(mixed):
    for name in HOSTS:
        await mixed.start(name, is_earlier=True)
    for is_earlier in (False, True):
        for name in HOSTS:
            await mixed.replace(name, is_earlier=is_earlier)
            await mixed.wait_until_all_meet()
            assert await mixed.send(name) == [200]


# A fact of one version did not reach hosts of the other.
@pytest.mark.parametrize("told", ["host-1", "host-3"])
async def test_limit_of_an_endpoint_reaches_hosts_of_both_versions(mixed, told):
    for name in HOSTS:
        await mixed.start(name, is_earlier=name == "host-1")
    await mixed.wait_until_all_meet()
    for endpoint in mixed.site.endpoints.values():
        endpoint.rate_limit = LIMIT_PER_SECOND
        endpoint.default_script = plain_response()
    await mixed.send(told, 4)
    await asyncio.sleep(1.5)

    for name in HOSTS:
        assert "endpoint limit changed" in mixed.site.read_log(name)


async def test_usage_of_hosts_of_both_versions_is_reported_once(mixed):
    for name in HOSTS:
        await mixed.start(name, is_earlier=name == "host-2")
    await mixed.wait_until_all_meet()
    sent = 0
    for _ in range(10):
        for name in HOSTS:
            sent += (await mixed.send(name, 3)).count(200)
        await asyncio.sleep(0.2)
    async with asyncio.timeout(12):
        while _reported(mixed.site) < sent:
            await asyncio.sleep(0.1)
    await asyncio.sleep(1.0)

    assert _reported(mixed.site) == sent
    contents = {}
    for _, _, report in mixed.site.store.usage:
        contents.setdefault(report["window_id"], set()).add(str(report["counts"]))
    assert all(len(found) == 1 for found in contents.values())


async def test_duties_pass_between_versions_without_a_lost_or_second_count(mixed):
    for name in HOSTS:
        await mixed.start(name, is_earlier=True)
    await mixed.wait_until_all_meet()
    sent, holders = 0, []
    for is_earlier in (False, True, False):
        sent += await _send_to_all(mixed)
        holders.append(await _wait_for_holder(mixed.site, sent))
        await mixed.replace(holders[-1], is_earlier=is_earlier)
        await mixed.wait_until_all_meet()
    sent += await _send_to_all(mixed)
    await _wait_for_holder(mixed.site, sent)
    await asyncio.sleep(1.0)

    assert _reported(mixed.site) == sent
    tokens = [token for _, token, _ in mixed.site.store.usage]
    assert tokens == sorted(tokens)
    assert len(set(tokens)) > len(HOSTS)
    contents = {}
    for _, _, report in mixed.site.store.usage:
        contents.setdefault(report["window_id"], set()).add(str(report["counts"]))
    assert all(len(found) == 1 for found in contents.values())


async def _send_to_all(mixed):
    """Send requests to all hosts, and return how many were answered."""
    answered = 0
    for _ in range(4):
        for name in HOSTS:
            answered += (await mixed.send(name, 2)).count(200)
        await asyncio.sleep(0.3)
    return answered


async def _wait_for_holder(site, reported):
    """Return which host holds the duties once so many requests are reported."""
    async with asyncio.timeout(15):
        while _reported(site) < reported:
            await asyncio.sleep(0.1)
    return site.store.usage[-1][0]


def _reported(site):
    """Return the requests in all reported windows, each window once."""
    counts_by_window = {r["window_id"]: r["counts"] for _, _, r in site.store.usage}
    return sum(sum(counts.values()) for counts in counts_by_window.values())


# Hosts of one version could not read the documents of the other.
async def test_host_without_store_gets_the_configuration_of_an_earlier_version(mixed):
    site = mixed.site
    await mixed.start("host-1", is_earlier=True)
    await mixed.start(
        "host-2", is_earlier=False, store_address=site.second_store_address
    )
    await mixed.wait_until_all_meet()
    site.store.faults["refusing_addresses"].append(site.second_store_address)
    site.configure(2, tenants=[{"name": "w1", "api_keys": ["key-2"]}])
    async with asyncio.timeout(MEET_SECONDS):
        while '"version":2' not in site.read_log("host-2"):
            await asyncio.sleep(0.05)
