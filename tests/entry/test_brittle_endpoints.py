"""Endpoints that state that they fall over if they have to reject much."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.brittle_rule import allowed_falls
from tests.standins.brittle_endpoint import BrittleEndpoint

HOSTS = ("host-1", "host-2", "host-3")
ENDPOINTS = 3
SLOTS = 4
WORK_SECONDS = 0.1
BRITTLE = 4
# Twice what the endpoints can run.
REQUESTS_PER_SECOND = 2 * ENDPOINTS * SLOTS / WORK_SECONDS
BRITTLE_SECONDS = 12.0
STATED_SECONDS = 3.0


@pytest.fixture
async def addresses(site):
    """The addresses of three daemons in front of three endpoints with few slots."""

    def register(endpoint, incarnation):
        address = endpoint.server_address[0]
        site.put_endpoint_entry(
            endpoint.endpoint_id, address, "plain-app", slots=SLOTS, born=incarnation
        )

    for number in range(ENDPOINTS):
        endpoint = BrittleEndpoint(
            f"e{number}",
            notify_restart=register,
            slots=SLOTS,
            work_seconds=WORK_SECONDS,
            restart_seconds=1.5,
        )
        await site.add_endpoint(f"e{number}", 11 + number, endpoint=endpoint)
        register(endpoint, 1)
    found = {n: site.start_daemon(n, 21 + i) for i, n in enumerate(HOSTS)}
    for address in found.values():
        await site.wait_ready(address)
    return found


async def send_for(site, addresses, seconds, rate):
    """Send requests at a rate to all hosts; return the time and status of each."""
    results = []

    async def send(host, number):
        sent_at = time.monotonic()
        request_id = f"{host}/{number}/{sent_at}"
        path = f"/plain/{request_id}"
        response = await site.send_request(addresses[host], path, request_id)
        results.append((sent_at, response.status))

    tasks, started_at = [], time.monotonic()
    while (elapsed := time.monotonic() - started_at) < seconds:
        while len(tasks) < elapsed * rate:
            host = HOSTS[len(tasks) % len(HOSTS)]
            tasks.append(asyncio.create_task(send(host, len(tasks))))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    return results


# Endpoints fell over for what all hosts together sent them beyond their room.
async def test_hosts_do_not_make_brittle_endpoints_fall_over(site, addresses):
    endpoints = site.endpoints.values()
    for endpoint in endpoints:
        endpoint.brittle = BRITTLE
    await send_for(site, addresses, STATED_SECONDS, REQUESTS_PER_SECOND / 8)
    results = await send_for(site, addresses, BRITTLE_SECONDS, REQUESTS_PER_SECOND)

    falls = sum(len(endpoint.crashes) for endpoint in endpoints)
    served = sum(status == 200 for _, status in results)
    capacity = ENDPOINTS * SLOTS / WORK_SECONDS * BRITTLE_SECONDS
    assert falls <= allowed_falls(ENDPOINTS)
    assert served >= 0.5 * capacity


async def test_brittle_endpoints_serve_a_demand_that_they_have_room_for(
    site, addresses
):
    for endpoint in site.endpoints.values():
        endpoint.brittle = BRITTLE
    results = await send_for(site, addresses, 6.0, REQUESTS_PER_SECOND / 8)

    assert not any(endpoint.crashes for endpoint in site.endpoints.values())
    late = [status for at, status in results if at >= results[0][0] + 1.0]
    assert sum(status == 200 for status in late) >= 0.95 * len(late)
