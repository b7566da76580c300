"""One entry among the endpoints' that no host can use does not affect the others."""

from __future__ import annotations

import asyncio
import json
import random
import time
from contextlib import asynccontextmanager

import pytest

HEARTBEAT_SECONDS = 0.6
# The first list of a host that has just started, and a connection to each endpoint.
START_SECONDS = 3.0
# The largest value that the store accepts; each fills a page of a list.
MAX_VALUE_BYTES = 1 << 20
LARGE_ENTRIES = 20
REQUESTS = 30
ENDPOINT_NUMBERS = {"e1": 11, "e2": 12}


def entry(**changes: object) -> bytes:
    """Return an entry that a host can use, but for ``changes``."""
    document = {
        "backend": "plain-app",
        "address": "127.0.0.1:1",
        "zone": "dc-1",
        "slots": 4,
        "state": "ready",
        "born": 1,
        "version": "v1",
    }
    return json.dumps({**document, **changes}).encode()


NESTED = b"[" * 100_000 + b"]" * 100_000
ODD_ENTRIES_BY_NAME = {
    "nested": entry()[:-1] + b',"x":' + NESTED + b"}",
    "port out of range": entry(address="127.0.0.1:70000"),
    "port 0": entry(address="127.0.0.1:0"),
    "nul in the address": entry(address="\x00:80"),
    "huge slots": entry(slots=10**400),
    "negative slots": entry(slots=-(10**30)),
    "huge start": entry(born=10**400),
    "start past 64 bits": entry(born=2**64),
}


@asynccontextmanager
async def written_entries(site, odd_entry: bytes):
    """Write the entries of the site's endpoints and an odd one at each heartbeat."""

    async def write() -> None:
        beat = 0
        while True:
            beat += 1
            for endpoint_id in site.endpoints:
                address = f"{site.network}.{ENDPOINT_NUMBERS[endpoint_id]}"
                site.put_endpoint_entry(
                    endpoint_id, address, "plain-app", sequence=beat
                )
            site.store.put("servers/aa", odd_entry + b" " * (beat % 2))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    writing = asyncio.create_task(write())
    try:
        yield
    finally:
        writing.cancel()


async def send_requests(site, addresses: list[str]) -> dict[object, int]:
    """Send requests to all hosts in turn, and count the outcomes."""
    outcomes: dict[object, int] = {}
    for number in range(REQUESTS):
        address = addresses[number % len(addresses)]
        try:
            response = await site.send_request(address, "/plain/", f"r{number}")
            outcome = response.status if response.is_complete else "incomplete"
        except (OSError, EOFError, TimeoutError) as error:
            outcome = type(error).__name__
        outcomes[outcome] = outcomes.get(outcome, 0) + 1
    return outcomes


def start_hosts(site) -> list[str]:
    return [site.start_daemon(f"host-{n}", 20 + n) for n in (1, 2, 3)]


# Hosts that start beside an entry that no decoder expects answered 503 to everything.
@pytest.mark.parametrize("name", ODD_ENTRIES_BY_NAME)
async def test_service_returns_after_the_loss_of_all_hosts_beside_an_odd_entry(
    site, name
):
    for endpoint_id, number in ENDPOINT_NUMBERS.items():
        await site.add_endpoint(endpoint_id, number)
    for address in start_hosts(site):
        await site.wait_ready(address)

    async with written_entries(site, ODD_ENTRIES_BY_NAME[name]):
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)
        for process in site.processes.values():
            process.kill()
            process.wait()
        addresses = start_hosts(site)
        for address in addresses:
            await site.wait_ready(address)
        await asyncio.sleep(START_SECONDS)
        outcomes = await send_requests(site, addresses)

    assert outcomes == {200: REQUESTS}


# A host kept its last list for as long as an entry could not be decoded.
async def test_hosts_follow_the_list_beside_an_odd_entry(site):
    await site.add_endpoint("e1", 11)
    addresses = start_hosts(site)
    for address in addresses:
        await site.wait_ready(address)

    async with written_entries(site, ODD_ENTRIES_BY_NAME["nested"]):
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)
        site.endpoints.pop("e1").server.close()
        site.store.delete("servers/e1")
        await site.add_endpoint("e2", 12)
        deadline = time.monotonic() + 2 * START_SECONDS
        while not site.arrivals and time.monotonic() < deadline:
            await send_requests(site, addresses[:1])

    assert site.arrivals


# A list that filled more pages than were read lacked all endpoints, and hosts took
# these for gone.
async def test_service_returns_after_the_loss_of_all_hosts_beside_large_entries(site):
    draw = random.Random(1)
    for endpoint_id, number in ENDPOINT_NUMBERS.items():
        await site.add_endpoint(endpoint_id, number)
    for address in start_hosts(site):
        await site.wait_ready(address)
    for number in range(LARGE_ENTRIES):
        site.store.put(f"servers/a-{number:03}", draw.randbytes(MAX_VALUE_BYTES))
    for process in site.processes.values():
        process.kill()
        process.wait()
    addresses = start_hosts(site)
    for address in addresses:
        await site.wait_ready(address)
    await asyncio.sleep(START_SECONDS)
    pages_before = site.store.calls_by_kind["kv-range"]
    outcomes = await send_requests(site, addresses)
    await asyncio.sleep(2.0)
    pages = site.store.calls_by_kind["kv-range"] - pages_before

    assert outcomes == {200: REQUESTS}
    # Two pages for each list of endpoints, as large entries are not read each time.
    assert pages < LARGE_ENTRIES
    assert all('"key":"servers/a-' in site.read_log(n) for n in site.processes)
