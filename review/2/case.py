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
# What the sheet gives for both kinds of request of this service together.
LOOKUPS_PER_S = 9.85
KILL_COUNT = 2
# Engines are back by then, and the hosts agree on the request.
PAUSE_SECONDS = 7.0
PLAY_SECONDS = 48.0
MAX_LATE_ATTEMPTS = 3


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the deadly request reaches engines in three attempts at most."""
    lookups = LookupSite(site)
    await lookups.start(6, lambda: WORK_SECONDS * random.uniform(0.5, 1.5))
    traffic = asyncio.create_task(lookups.send_lookups(LOOKUPS_PER_S, PLAY_SECONDS))
    await lookups.send_deadly()
    await asyncio.sleep(PAUSE_SECONDS)
    await lookups.send_deadly()
    for _ in range(KILL_COUNT):
        if has_trouble:
            await kill_all(site, lookups.hosts)
        await site.wait_ready(*lookups.hosts)
        await asyncio.sleep(2 * STABLE_SECONDS)
        site.record.write("all hosts have been in touch for a while")
        await lookups.send_deadly()
        await asyncio.sleep(PAUSE_SECONDS)
    await traffic
    late = lookups.late_attempts(DEADLY_PREFIX)
    site.record.write(f"{lookups.crash_count} crashes; answers {lookups.answers}")
    site.record.write(f"{len(late)} attempts over 3 s after the third crash")
    if lookups.crash_count < 3:
        raise RuntimeError("the request did not crash three engines")
    return len(late) <= MAX_LATE_ATTEMPTS


async def kill_all(site: Site, names: tuple[str, ...]) -> None:
    """Kill all hosts at once, and start them again as the platform does."""
    for name in names:
        site.signal(name, signal.SIGKILL)
    for name in names:
        await site.wait_ended(name)
    await asyncio.sleep(RESTART_SECONDS)
    for name in names:
        site.start_host(name)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
