"""Measures the processor time of an entry host's daemon until it is ready.

Starts one daemon several times on loopback and also counts the modules that it loads;
checks no bound.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.processes import cpu_seconds
from tests.entry.entry_site import EntrySite

__all__: list[str] = []

STARTS = 10
NETWORK = "127.18.1"
COUNT_MODULES = (
    "import sys; import amaranthhollow.entry.command; "
    "print(len(sys.modules), "
    "sum(1 for m in sys.modules.values() if getattr(m, '__file__', None)))"
)


async def measure_starts(site: EntrySite) -> list[float]:
    """Return the processor time of each start, in milliseconds."""
    times = []
    for number in range(STARTS):
        name = f"host-{number}"
        address = site.start_daemon(name, 101 + number)
        await site.wait_ready(address)
        times.append(1000 * cpu_seconds(site.processes[name].pid))
        site.processes[name].kill()
    return times


async def main() -> None:
    """Print the processor time of starts, and what is loaded."""
    with tempfile.TemporaryDirectory() as folder:
        site = EntrySite(Path(folder), NETWORK)
        await site.start()
        site.configure()
        try:
            times = await measure_starts(site)
        finally:
            await site.close()
    modules, files = subprocess.run(
        [sys.executable, "-c", COUNT_MODULES],
        capture_output=True,
        check=True,
        text=True,
    ).stdout.split()
    print(
        f"{min(times):.0f}, {statistics.median(times):.0f}, {max(times):.0f} ms of "
        f"processor time until ready (least, median, most of {STARTS}); "
        f"{modules} modules loaded, {files} of them from files"
    )


asyncio.run(main())
