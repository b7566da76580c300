"""Measures what entry hosts cost while they serve no requests, and what a start costs.

Runs 9 and 24 daemons as processes on loopback, in front of 84 listed endpoints that
nobody calls; checks no bound.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path

from benchmarks.processes import cpu_seconds, resident_megabytes
from tests.entry.entry_site import EntrySite

__all__: list[str] = []

DAEMON_COUNTS = (9, 24)
ENDPOINTS = 84
FIRST_DAEMON_NUMBER = 101
START_INTERVAL_SECONDS = 0.1
SETTLE_SECONDS = 4.0
MEASURED_SECONDS = 10.0
NETWORK = "127.17.1"


async def measure(count: int) -> None:
    """Start ``count`` daemons and print their cost while they serve no requests."""
    with tempfile.TemporaryDirectory() as folder:
        site = EntrySite(Path(folder), NETWORK)
        await site.start()
        site.configure()
        for number in range(ENDPOINTS):
            site.put_endpoint_entry(f"i-{number:08x}", f"{NETWORK}.4", "plain-app")
        try:
            await _measure_site(site, count)
        finally:
            await site.close()


async def _measure_site(site: EntrySite, count: int) -> None:
    addresses = []
    for number in range(count):
        addresses.append(site.start_daemon(f"h{number}", FIRST_DAEMON_NUMBER + number))
        await asyncio.sleep(START_INTERVAL_SECONDS)
    await asyncio.gather(*(site.wait_ready(address) for address in addresses))
    pids = [process.pid for process in site.processes.values()]
    start = sum(map(cpu_seconds, pids)) / count
    await asyncio.sleep(SETTLE_SECONDS)
    before = sum(map(cpu_seconds, pids))
    calls_before = Counter(site.store.calls_by_kind)
    await asyncio.sleep(MEASURED_SECONDS)
    cores = (sum(map(cpu_seconds, pids)) - before) / count / MEASURED_SECONDS
    calls = Counter(site.store.calls_by_kind) - calls_before
    rates = {kind: round(n / MEASURED_SECONDS, 2) for kind, n in sorted(calls.items())}
    memory = max(map(resident_megabytes, pids))
    print(
        f"{count:3} hosts: {start:.2f} s of processor time until all are ready, then "
        f"{100 * cores:.2f}% of a core and {memory:.0f} MB each; "
        f"store calls of all hosts: {dict(sorted(calls_before.items()))} in the first "
        f"seconds, then a second {rates}"
    )


async def main() -> None:
    """Measure the host counts of the command line, or the default ones."""
    for count in [int(n) for n in sys.argv[1:]] or DAEMON_COUNTS:
        await measure(count)


asyncio.run(main())
