"""Endpoints that state how many requests per second they accept from all hosts."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.limit_rule import LimitRecord
from tests.standins.scripted_endpoint import sse_event, stream_response

HOSTS = ("host-1", "host-2", "host-3")
RATE = 1.0
REQUEST_INTERVAL_SECONDS = 0.1
# Each request is drawn between two endpoints; over this time the draws even out.
COUNTED_SECONDS = 10.0


class Traffic:
    """Sends requests to every host, and records which responses state a limit."""

    def __init__(self, site, addresses, path):
        self.site = site
        self.addresses = addresses
        self.path = path
        self.statuses = []
        self.told_at_by_host = {}

    async def run(self, seconds):
        await asyncio.gather(*(self._send_to(host, seconds) for host in self.addresses))

    async def run_until_told(self, seconds, timeout):
        """Send for a time, and on until every host has relayed a limit."""
        ends_at = time.monotonic() + timeout
        await self.run(seconds)
        while set(self.told_at_by_host) != set(HOSTS) and time.monotonic() < ends_at:
            await self.run(1.0)

    async def _send_to(self, host, seconds):
        ends_at = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < ends_at:
            request_id = f"{host}/{time.monotonic_ns()}"
            tasks.append(asyncio.create_task(self._send(host, request_id)))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        await asyncio.gather(*tasks)

    async def _send(self, host, request_id):
        address = self.addresses[host]
        response = await self.site.send_request(address, self.path, request_id)
        self.statuses.append(response.status)
        if "server-limit" in response.headers:
            self.told_at_by_host.setdefault(host, time.monotonic())

    def record(self, endpoint, named_at, ended_at=float("inf")):
        """Return what reached an endpoint that stated a limit from ``named_at``."""
        record = LimitRecord(RATE, named_at, ended_at)
        record.told_at_by_host = dict(self.told_at_by_host)
        for arrival in endpoint.arrivals:
            record.record_arrival(arrival.request_id.partition("/")[0], arrival.at)
        return record


def arrivals_between(endpoint, start, end=float("inf")):
    return [a for a in endpoint.arrivals if start <= a.at < end]


@pytest.fixture
async def addresses(site):
    """The addresses of three daemons in front of two endpoints."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    script = stream_response(sse_event(1), 0.02, sse_event(2))
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path["/stream/x"] = script
    found = {n: site.start_daemon(n, 21 + i) for i, n in enumerate(HOSTS)}
    for address in found.values():
        await site.wait_ready(address)
    return found


# An endpoint that limits all hosts together got its full share from each of them.
@pytest.mark.parametrize("path", ["/plain/x", "/stream/x"])
async def test_hosts_together_keep_the_limit_of_an_endpoint(site, addresses, path):
    limited = site.endpoints["e1"]
    traffic = Traffic(site, addresses, path)
    await traffic.run(1.0)
    named_at = time.monotonic()
    limited.rate_limit = RATE
    # A host that heard of the limit from its peers relays it once it owns a slot.
    await traffic.run_until_told(10.0, timeout=40.0)

    record = traffic.record(limited, named_at)
    assert set(record.told_at_by_host) == set(HOSTS)
    assert record.largest_window() <= record.allowed
    assert set(traffic.statuses) == {200}


# Nothing reached the endpoint of a service whose limit was used up, or all did.
async def test_only_endpoint_gets_its_limit_and_the_rest_is_refused_at_once(
    site, addresses
):
    site.put_endpoint_entry("e2", f"{site.network}.12", "plain-app", state="draining")
    await asyncio.sleep(1.5)
    limited = site.endpoints["e1"]
    limited.rate_limit = RATE
    named_at = time.monotonic()
    traffic = Traffic(site, addresses, "/plain/x")
    await traffic.run(12.0)

    record = traffic.record(limited, named_at)
    assert record.largest_window() <= record.allowed
    assert len(arrivals_between(limited, named_at + 4.0)) >= 0.5 * RATE * 8.0
    assert set(traffic.statuses) == {200, 503}


# A limit that had ended was kept by the hosts that rarely send to the endpoint.
async def test_limit_ends_at_all_hosts_once_the_endpoint_states_none(site, addresses):
    limited = site.endpoints["e1"]
    limited.rate_limit = RATE
    traffic = Traffic(site, addresses, "/plain/x")
    await traffic.run(6.0)
    limited.rate_limit = None
    ended_at = time.monotonic()
    await traffic.run(4.0 + COUNTED_SECONDS)

    late = arrivals_between(limited, ended_at + 4.0)
    hosts = {arrival.request_id.partition("/")[0] for arrival in late}
    assert hosts == set(HOSTS)
    assert len(late) > 10 * RATE * COUNTED_SECONDS


# A host that starts sends an endpoint its full share until it has its own response.
async def test_starting_host_gets_the_limit_from_its_peers(site, addresses):
    limited = site.endpoints["e1"]
    limited.rate_limit = RATE
    await Traffic(site, addresses, "/plain/x").run(3.0)
    started_at = time.monotonic()
    address = site.start_daemon("host-4", 24)
    await site.wait_ready(address)
    await asyncio.sleep(1.0)
    await Traffic(site, {"host-4": address}, "/plain/x").run(3.0)

    own = [
        arrival
        for arrival in arrivals_between(limited, started_at)
        if arrival.request_id.startswith("host-4/")
    ]
    assert len(own) <= 2
