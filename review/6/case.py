"""Another writer leaves large entries; then all hosts are killed and come back."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from load import Attempt, Caller, ServiceStandIn  # noqa: E402
from small_site import Record, Site  # noqa: E402

HOSTS = {"edge-qld-a-1": 21, "edge-qld-a-2": 22, "edge-qld-a-3": 23}
ENTRIES = 20
# Within the `value_bytes` of the settings, 1,048,576.
ENTRY_BYTES = 1_000_000
CALLERS_PER_HOST = 4
FAULT_AT_SECONDS = 8.0
DOWN_SECONDS = 0.5
RECOVER_SECONDS = 12.0
JUDGED_SECONDS = 10.0
MIN_SHARE = 0.25


def share_served(attempts: list[Attempt]) -> float:
    """Return which part of the attempts got a success."""
    return sum(a.end == "200" for a in attempts) / max(1, len(attempts))


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    record, site = Record(FOLDER), Site()
    servers = [ServiceStandIn(f"i-{number}", 0.045) for number in range(4)]
    draw = random.Random(6)
    entries = [draw.randbytes(ENTRY_BYTES) for _ in range(ENTRIES)]
    try:
        await site.start()
        for number, server in enumerate(servers):
            await server.start(site, 11 + number)
        site.configure()
        addresses = [site.start_host(name, number) for name, number in HOSTS.items()]
        for address in addresses:
            if not await site.wait_ready(address):
                record("a host did not become ready")
                return 2
        started_at = time.time()
        until = (
            started_at
            + FAULT_AT_SECONDS
            + DOWN_SECONDS
            + RECOVER_SECONDS
            + JUDGED_SECONDS
        )
        callers = [
            Caller(f"caller-{host}-{number}", address, "/lookup/1", "GET")
            for host, address in enumerate(addresses)
            for number in range(CALLERS_PER_HOST)
        ]
        calls = [
            asyncio.create_task(
                caller.run(until, deadline_ms=1000, is_kept=True, pause=0.2)
            )
            for caller in callers
        ]
        await asyncio.sleep(FAULT_AT_SECONDS)
        if has_trouble:
            for number, value in enumerate(entries):
                site.store.put_bytes(f"servers/a-{number:04d}", value)
            record(f"another writer leaves {ENTRIES} entries of {ENTRY_BYTES} bytes")
        fault_at = time.time()
        for name in HOSTS:
            site.signal(name, signal.SIGKILL)
        record("final fault: all processes are killed")
        await asyncio.sleep(DOWN_SECONDS)
        for name, number in HOSTS.items():
            site.start_host(name, number, is_first_start=False)
        back_at = time.time()
        record("all processes are started again")
        await asyncio.gather(*calls)
        attempts = [attempt for caller in callers for attempt in caller.attempts]
        before = [a for a in attempts if a.ended_at and a.ended_at < fault_at]
        after = [a for a in attempts if a.sent_at > back_at + RECOVER_SECONDS]
        for text, part in (("before the fault", before), ("after recover_s", after)):
            ends: dict[str, int] = {}
            for attempt in part:
                ends[attempt.end] = ends.get(attempt.end, 0) + 1
            record(f"lookups {text}: {len(part)}; ends: {ends}")
        runs = [run for server in servers for run in server.runs]
        late_runs = [run for run in runs if run.at > back_at + RECOVER_SECONDS]
        record(f"runs at servers: {len(runs)}, after recover_s: {len(late_runs)}")
        if share_served(before) < MIN_SHARE or not after:
            return 2
        is_broken = share_served(after) < MIN_SHARE
        record(f"RECOVER {'broken' if is_broken else 'held'}")
        return int(is_broken)
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
