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

# Of the model service of Prelungit Cluj: engines, slots, deadline, requests a second.
ENGINE_COUNT = 9
SLOTS = 64
DEADLINE_MS = 12_000
REQUESTS_PER_S = 38.9
MIN_WORK_SECONDS, MAX_WORK_SECONDS = 1.0, 3.0
WARM_UP_SECONDS = 5.0
# Two such requests, one after the other.
DEADLY_COUNT = 2
DEADLY_SECONDS = 27.0
# From the end of one pair of attempts to the next time that the client asks.
DEADLY_INTERVAL_SECONDS = 3.0
MAX_LATE_ATTEMPTS = 3


async def play(site: Site, has_trouble: bool) -> bool:
    """Return whether the deadly request reaches engines in three attempts at most."""
    lookups = LookupSite(site, deadline_ms=DEADLINE_MS)
    await lookups.start(
        ENGINE_COUNT,
        lambda: random.uniform(MIN_WORK_SECONDS, MAX_WORK_SECONDS),
        is_deadly=has_trouble,
        slots=SLOTS,
    )
    play_seconds = 2 * WARM_UP_SECONDS + DEADLY_COUNT * DEADLY_SECONDS
    traffic = asyncio.create_task(lookups.send_lookups(REQUESTS_PER_S, play_seconds))
    await asyncio.sleep(WARM_UP_SECONDS)
    paths = [f"{DEADLY_PREFIX}-{number + 1}" for number in range(DEADLY_COUNT)]
    for path in paths:
        ends_at = time.monotonic() + DEADLY_SECONDS
        while time.monotonic() < ends_at:
            await lookups.send_deadly(path)
            await asyncio.sleep(DEADLY_INTERVAL_SECONDS)
    await traffic
    site.record.write(f"{lookups.crash_count} crashes; answers {lookups.answers}")
    late_counts = [len(lookups.late_attempts(path)) for path in paths]
    site.record.write(f"attempts over 3 s after the third crash: {late_counts}")
    return max(late_counts) <= MAX_LATE_ATTEMPTS


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
