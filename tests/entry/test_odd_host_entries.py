"""One entry among the hosts' that no host can use does not affect the others."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from amaranthhollow.state.host_registry import HOSTS_PREFIX
from tests.entry.entry_site import METRICS_PORT

NESTED = b"\x91" * 100_000 + b"\xc0"
ODD_ENTRIES_BY_NAME = {
    "nested": msgspec.msgpack.encode(["127.0.0.9", "dc-1", 0])[:-1] + NESTED,
    "nested in a later field": b"\x97"
    + msgspec.msgpack.encode(["127.0.0.9", "dc-1", 0, 1, "", 2])[1:]
    + NESTED,
    "nul in the address": msgspec.msgpack.encode(["\x00", "dc-1", 0]),
    "no address": msgspec.msgpack.encode(["host.invalid", "dc-1", 0]),
    "a group's address": msgspec.msgpack.encode(["255.255.255.255", "dc-1", 0]),
    "long": msgspec.msgpack.encode(["127.0.0.9", "d" * 100_000, 0]),
    "no document": b"\xc1",
}


# The socket for messages to peers was closed by the first one to such an address, and
# the hosts no longer heard of each other.
@pytest.mark.parametrize("name", ODD_ENTRIES_BY_NAME)
async def test_hosts_find_each_other_beside_an_odd_entry(site, name):
    await site.add_endpoint("e1", 11)
    site.store.put(f"{HOSTS_PREFIX}aa", ODD_ENTRIES_BY_NAME[name])
    for number in (1, 2, 3):
        site.start_daemon(f"host-{number}", 20 + number)
    # A peer that does not answer is suspected, and lost some seconds later.
    await asyncio.sleep(6)
    counts = [await count_echoes(site, number) for number in (1, 2, 3)]
    await asyncio.sleep(1)

    for number, count in zip((1, 2, 3), counts, strict=True):
        assert await count_echoes(site, number) > count
        log = site.read_log(f"host-{number}")
        assert '"reachable":2' in log
        assert "Traceback" not in log
        assert "background task failed" not in log


async def count_echoes(site, number: int) -> float:
    """Return how many echoes of peers a host has received."""
    reader, writer = await asyncio.open_connection(
        f"{site.network}.{20 + number}", METRICS_PORT
    )
    writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
    lines = (await reader.read()).decode().splitlines()
    writer.close()
    counts = [line.split()[-1] for line in lines if 'kind="echo"' in line]
    return float(counts[0]) if counts else 0.0
