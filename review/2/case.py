"""A request that crashes engines comes again after all hosts were killed at once."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path
from typing import TYPE_CHECKING

from review.support.lookups import DEADLY_PREFIX, STABLE_SECONDS, LookupSite
from review.support.site import RESTART_SECONDS, run_case

if TYPE_CHECKING:
    from review.support.site import Site

WORK_SECONDS = 0.045
LOOKUPS_PER_S = 40.0
PLAY_SECONDS = 60.0
# A client asks for the deadly thing every so often.
DEADLY_INTERVAL_SECONDS = 12.0
MAX_LATE_RUNS = 3


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the deadly request reaches engines three times at most."""
    lookups = LookupSite(site)
    await lookups.start(6, lambda: WORK_SECONDS * random.uniform(0.5, 1.5))
    traffic = asyncio.create_task(lookups.send_lookups(LOOKUPS_PER_S, PLAY_SECONDS))
    for _ in range(2):
        await lookups.send_deadly()
        await asyncio.sleep(DEADLY_INTERVAL_SECONDS)
    if has_trouble:
        for name in lookups.hosts:
            site.signal(name, signal.SIGKILL)
        for name in lookups.hosts:
            await site.wait_ended(name)
        await asyncio.sleep(RESTART_SECONDS)
        for name in lookups.hosts:
            site.start_host(name)
    await site.wait_ready(*lookups.hosts)
    await asyncio.sleep(2 * STABLE_SECONDS)
    site.record.write("all hosts have been in touch again for a while")
    for _ in range(2):
        await lookups.send_deadly()
        await asyncio.sleep(DEADLY_INTERVAL_SECONDS)
    await traffic
    late = lookups.late_runs(DEADLY_PREFIX)
    site.record.write(f"{lookups.crash_count} crashes; answers {lookups.answers}")
    site.record.write(f"{len(late)} runs over 3 s after the third crash")
    if lookups.crash_count < 3:
        raise RuntimeError("the request did not crash three engines")
    return len(late) <= MAX_LATE_RUNS


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
