"""Parts of prompts that crash the endpoints, among requests that are all different."""

from __future__ import annotations

import asyncio
import time
from itertools import count
from random import Random

import pytest

from tests.crash_rule import CrashRecord
from tests.standins.crashing_endpoint import CrashingEndpoint, shared_parts

HOSTS = ("host-1", "host-2", "host-3")
DEADLY_PART = "dead"
SOUND_INTERVAL_SECONDS = 0.1
DEADLY_INTERVAL_SECONDS = 0.4
QUIET_SECONDS = 2.5
DEADLY_SECONDS = 12.0


class Traffic:
    """Sends sound requests at all hosts, and for a time those with the deadly part."""

    def __init__(self, site, addresses, path):
        self.site = site
        self.addresses = addresses
        self.path = path
        self.random = Random(7)
        self.numbers = count()
        self.record = CrashRecord()
        self.deadly_statuses = []
        self.sound_statuses = []

    async def run_sound(self, seconds):
        await self._run(seconds, SOUND_INTERVAL_SECONDS, self._send_sound)

    async def run_deadly(self, seconds):
        await self._run(seconds, DEADLY_INTERVAL_SECONDS, self._send_deadly)

    async def _run(self, seconds, interval, send):
        ends_at = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < ends_at:
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(interval)
        await asyncio.gather(*tasks)

    async def _send_sound(self):
        number = next(self.numbers)
        second = self.random.choice(("", "b1:80,", "b2:80,"))
        started_at = time.monotonic()
        response, request_id = await self._send(f"first:500,{second}s{number}:60")
        began = any(a.request_id == request_id for a in self.site.arrivals)
        self.record.sound_first_tries.append((started_at, began))
        self.sound_statuses.append((started_at, response.status, response.is_complete))

    async def _send_deadly(self):
        number = next(self.numbers)
        response, _ = await self._send(f"first:500,{DEADLY_PART}:90,d{number}:70")
        self.deadly_statuses.append((time.monotonic(), response.status))

    async def _send(self, prefix):
        host = self.random.choice(HOSTS)
        request_id = f"{host}/{next(self.numbers)}"
        response = await self.site.send_request(
            self.addresses[host],
            self.path,
            request_id,
            headers=f"X-Prefix-Hash: {prefix}\r\n",
            body=request_id.encode(),
            method="POST",
        )
        return response, request_id

    def fill_record(self):
        """Return the record with what the endpoints have seen."""
        for endpoint in self.site.endpoints.values():
            self.record.crashes.extend(endpoint.crashes)
            for arrival in endpoint.arrivals:
                if DEADLY_PART in shared_parts(arrival):
                    host = arrival.request_id.partition("/")[0]
                    self.record.arrivals.append((arrival.at, host))
        return self.record


@pytest.fixture
async def addresses(site):
    """The addresses of three daemons in front of five endpoints that may crash."""

    def register(endpoint, incarnation):
        address = endpoint.server_address[0]
        site.put_endpoint_entry(
            endpoint.endpoint_id, address, "plain-app", slots=50, born=incarnation
        )

    for number in range(5):
        endpoint = CrashingEndpoint(f"e{number}", notify_restart=register)
        await site.add_endpoint(f"e{number}", 11 + number, endpoint=endpoint)
        register(endpoint, 1)
    found = {n: site.start_daemon(n, 21 + i) for i, n in enumerate(HOSTS)}
    for address in found.values():
        await site.wait_ready(address)
    return found


async def play(site, addresses, path):
    """Return the traffic of a quiet time and of one with the deadly part."""
    traffic = Traffic(site, addresses, path)
    sound = asyncio.create_task(traffic.run_sound(QUIET_SECONDS + DEADLY_SECONDS))
    await asyncio.sleep(QUIET_SECONDS)
    first_bad_at = time.monotonic()
    for endpoint in site.endpoints.values():
        endpoint.deadly_part = DEADLY_PART
    await traffic.run_deadly(DEADLY_SECONDS)
    await sound
    return traffic, first_bad_at


# Requests that differ in all but a part of their prompts crashed one endpoint each.
@pytest.mark.parametrize("path", ["/stream/x", "/draft/x"])
async def test_requests_with_a_deadly_part_stop_reaching_endpoints(
    site, addresses, path
):
    traffic, first_bad_at = await play(site, addresses, path)

    record = traffic.fill_record()
    assert record.crashes
    assert record.keeps_budget(), record.late_arrivals()
    assert record.keeps_sound_requests(first_bad_at)
    assert {status for _, status in traffic.deadly_statuses[-6:]} == {503}


# A crash that ended a response without a length was taken for its regular end.
async def test_crash_is_recognised_in_responses_that_end_with_their_connection(
    site, addresses
):
    for endpoint in site.endpoints.values():
        endpoint.ends_early = True
    traffic, first_bad_at = await play(site, addresses, "/stream/x")

    record = traffic.fill_record()
    assert record.crashes
    assert record.keeps_budget(), record.late_arrivals()
    assert record.keeps_sound_requests(first_bad_at)
    assert {status for _, status in traffic.deadly_statuses[-6:]} == {503}
