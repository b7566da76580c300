"""Measures processor time, memory, gossip and platform calls of idle daemons.

Runs 3, 9 and 27 daemons as processes on loopback; checks no bound.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

from benchmarks.processes import cpu_seconds, resident_megabytes
from tests.site import Site, write_example_configuration

__all__: list[str] = []

DAEMON_COUNTS = (3, 9, 27)
SETTLE_SECONDS = 4.0
MEASURED_SECONDS = 8.0


async def measure(count: int) -> None:
    """Start ``count`` daemons and print their cost while they serve no requests."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder), "127.16.1") as site:
            names = [f"entry-{number}" for number in range(count)]
            for name in names:
                await site.start_daemon(name, wait_until_ready=False)
            await site.submit_sources(
                write_example_configuration(Path(folder) / "config"), 0
            )
            await asyncio.gather(
                *(site.wait_for_url(f"{site.url(name)}/ready") for name in names)
            )
            await asyncio.sleep(SETTLE_SECONDS)
            await report(site, names)


async def report(site: Site, names: list[str]) -> None:
    """Print processor time, memory, gossip and calls over ``MEASURED_SECONDS``."""
    pids = [site.processes_by_name[name].popen.pid for name in names]
    before = sum(map(cpu_seconds, pids))
    counts_before = await site.get_json(f"{site.key_value_url}/counts")
    gossip_before = await gossip_bytes(site, names)
    await asyncio.sleep(MEASURED_SECONDS)
    cores = (sum(map(cpu_seconds, pids)) - before) / len(names) / MEASURED_SECONDS
    counts = await site.get_json(f"{site.key_value_url}/counts")
    gossip = (await gossip_bytes(site, names) - gossip_before) / len(names)
    calls = sum(counts["calls_by_kind"].values())
    calls -= sum(counts_before["calls_by_kind"].values())
    memory = max(map(resident_megabytes, pids))
    print(
        f"{len(names):3} daemons: {100 * cores:.2f}% of a core, {memory:.0f} MB each, "
        f"gossip {2 * gossip / MEASURED_SECONDS / 1000:.2f} KB/s in and out each, "
        f"key-value service {calls / MEASURED_SECONDS:.2f} calls/s "
        f"and {counts['watching']} waiting watches in all"
    )


async def gossip_bytes(site: Site, names: list[str]) -> int:
    """Return the payload bytes of all gossip exchanges that the daemons started."""
    states = [await site.daemon_state(name) for name in names]
    return sum(state["counters_by_name"].get("gossip.bytes", 0) for state in states)


async def main() -> None:
    """Measure the daemon counts of the command line, or the default ones."""
    for count in [int(n) for n in sys.argv[1:]] or DAEMON_COUNTS:
        await measure(count)


asyncio.run(main())
