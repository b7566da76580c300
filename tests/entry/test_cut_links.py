"""Hosts that are cut off from all endpoints, and from nothing else."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.entry.entry_site import CUT_DAEMON
from tests.recover_rule import CutRecord
from tests.standins.scripted_endpoint import plain_response, sse_event, stream_response

HOSTS = ("host-1", "host-2", "host-3")
PATHS = ("/plain/x", "/once/x", "/stream/x", "/draft/x")
REQUEST_INTERVAL_SECONDS = 0.05
BEFORE_SECONDS = 1.0
CUT_SECONDS = 8.0
AFTER_SECONDS = 3.0
# The deadline of the callers of this test, less their own connection.
PROMPT_SECONDS = 1.0


class Traffic:
    """Sends requests of all kinds to every host, and records the responses."""

    def __init__(self, site, addresses):
        self.site = site
        self.addresses = addresses
        self.responses = []

    async def run(self, seconds):
        await asyncio.gather(*(self._send_to(host, seconds) for host in self.addresses))

    async def _send_to(self, host, seconds):
        ends_at = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < ends_at:
            path = PATHS[len(tasks) % len(PATHS)]
            tasks.append(asyncio.create_task(self._send(host, path, len(tasks))))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)

    async def _send(self, host, path, number):
        sent_at = time.monotonic()
        response = await self.site.send_request(
            self.addresses[host], path, f"{host}/{sent_at}/{number}", method="POST"
        )
        served = response.status == 200 and response.is_complete
        seconds = time.monotonic() - sent_at
        self.responses.append((host, sent_at, served, response.status, seconds))

    def record(self, cut_hosts, cut_at, ended_at):
        record = CutRecord(frozenset(cut_hosts), cut_at, ended_at)
        record.first_tries = [(h, at, served) for h, at, served, _, _ in self.responses]
        return record

    def served_share(self, start, end):
        served = [s for _, at, s, _, _ in self.responses if start <= at < end]
        return sum(served) / len(served)


@pytest.fixture
async def addresses(site):
    """The addresses of three daemons in front of three endpoints."""
    site.daemon_module = CUT_DAEMON
    script = stream_response(sse_event(1), 0.05, sse_event(2), 0.05, sse_event(3))
    for number in range(3):
        endpoint = await site.add_endpoint(f"e{number}", 11 + number)
        site.put_endpoint_entry(
            f"e{number}", f"{site.network}.{11 + number}", "plain-app", slots=50
        )
        endpoint.scripts_by_path = {"/stream/x": script, "/draft/x": script}
        endpoint.default_script = [0.02, *plain_response()]
    found = {n: site.start_daemon(n, 21 + i) for i, n in enumerate(HOSTS)}
    for address in found.values():
        await site.wait_ready(address)
    return found


async def play(site, addresses, cut_hosts, state):
    """Return the traffic, and when the cut began and ended."""
    traffic = Traffic(site, addresses)
    running = asyncio.create_task(
        traffic.run(BEFORE_SECONDS + CUT_SECONDS + AFTER_SECONDS)
    )
    await asyncio.sleep(BEFORE_SECONDS)
    cut_at = time.monotonic()
    for host in cut_hosts:
        site.set_links(host, state)
    await asyncio.sleep(CUT_SECONDS)
    ended_at = time.monotonic()
    for host in cut_hosts:
        site.set_links(host, "")
    await running
    return traffic, cut_at, ended_at


# Hosts without links to endpoints failed every request, while their peers had links.
@pytest.mark.parametrize("state", ["hang", "reset", "refuse"])
@pytest.mark.parametrize("cut_hosts", [("host-1",), ("host-1", "host-2")])
async def test_callers_of_hosts_that_are_cut_off_are_served(
    site, addresses, cut_hosts, state
):
    traffic, cut_at, ended_at = await play(site, addresses, cut_hosts, state)

    record = traffic.record(cut_hosts, cut_at, ended_at)
    assert record.is_kept(), record.served_shares()
    assert min(record.served_shares()) >= 0.95
    assert traffic.served_share(ended_at + 1.0, float("inf")) >= 0.99


# Requests were held until their deadline while no host could reach any endpoint.
async def test_requests_are_refused_at_once_if_no_host_reaches_endpoints(
    site, addresses
):
    traffic, cut_at, ended_at = await play(site, addresses, HOSTS, "hang")

    late = [
        (status, seconds)
        for _, at, _, status, seconds in traffic.responses
        if cut_at + 3.0 <= at < ended_at - 1.0
    ]
    assert {status for status, _ in late} == {503}
    in_time = sum(seconds < PROMPT_SECONDS for _, seconds in late)
    assert in_time >= 0.9 * len(late)
    assert traffic.served_share(ended_at + 2.0, float("inf")) >= 0.99


# Engines that served all other hosts were taken for crashed by those cut off from them.
async def test_lost_links_are_no_evidence_of_crashes(site, addresses):
    await play(site, addresses, ("host-1", "host-2"), "hang")

    for host in HOSTS:
        assert "evidence" not in site.read_log(host)
