"""A request that crashes engines comes again and again, beside other requests."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import TYPE_CHECKING

from review.support.lookups import DEADLY_PREFIX, LookupSite
from review.support.site import run_case

if TYPE_CHECKING:
    from review.support.site import Site

# Four engines with six slots each run 266 of these a second.
WORK_SECONDS = 0.09
LOOKUPS_PER_S = 250.0
WARM_UP_SECONDS = 5.0
# Three such requests, one after the other.
DEADLY_COUNT = 3
DEADLY_SECONDS = 27.0
# From the end of one pair of attempts to the next time that the client asks.
DEADLY_INTERVAL_SECONDS = 3.0
MAX_LATE_RUNS = 3


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the deadly request reaches engines three times at most."""
    lookups = LookupSite(site)
    await lookups.start(
        4, lambda: WORK_SECONDS * random.uniform(0.5, 1.5), is_deadly=has_trouble
    )
    play_seconds = 2 * WARM_UP_SECONDS + DEADLY_COUNT * DEADLY_SECONDS
    traffic = asyncio.create_task(lookups.send_lookups(LOOKUPS_PER_S, play_seconds))
    await asyncio.sleep(WARM_UP_SECONDS)
    paths = [f"{DEADLY_PREFIX}-{number + 1}" for number in range(DEADLY_COUNT)]
    for path in paths:
        ends_at = time.monotonic() + DEADLY_SECONDS
        while time.monotonic() < ends_at:
            await lookups.send_deadly(path)
            await asyncio.sleep(DEADLY_INTERVAL_SECONDS)
    await traffic
    site.record.write(f"{lookups.crash_count} crashes; answers {lookups.answers}")
    late_counts = [len(lookups.late_runs(path)) for path in paths]
    site.record.write(f"runs over 3 s after the third crash: {late_counts}")
    return max(late_counts) <= MAX_LATE_RUNS


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
