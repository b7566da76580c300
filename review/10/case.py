"""The holder of the duties is killed as it acts, and the next one is stopped."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from load import Caller, ServiceStandIn  # noqa: E402
from small_site import FIELDS, Record, Site  # noqa: E402

if TYPE_CHECKING:
    from http11 import Request
    from platform_standins import Call

LEASE_SECONDS = FIELDS["bounds.lease_ms"] / 1000
RUN_SECONDS = 100.0
HOLDER_KEY = "amaranthhollow/duties/holder"
# The platform starts a killed process again after a short delay.
RESTART_SECONDS = 0.3
FIRST, SECOND = "edge-qld-a-1", "edge-qld-a-2"
NUMBERS = {FIRST: 21, SECOND: 22}
# The lease is renewed about once a second.
MIN_LEASE_AGE_SECONDS = 0.55


class Trouble:
    """Kills the second host as it acts, and stops the first one when it acts next."""

    def __init__(self, site: Site, record: Record, *, is_on: bool) -> None:
        """Watch the calls of the duties of ``site``."""
        self._site = site
        self._record = record
        self._is_on = is_on
        self._lease_from = 0.0
        self._killed_at = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        site.store.on_call = self._watch_store
        site.cloud.on_call = self._watch_cloud

    def _watch_store(self, host: str, request: Request) -> None:
        holder = self._site.store.items.get(HOLDER_KEY)
        is_renewal = holder is not None and request.path == f"/kv-keep/{holder.lease}"
        if is_renewal or request.path == "/kv-lease":
            self._lease_from = time.time()

    def _watch_cloud(self, call: Call) -> None:
        self._record(f"{call.holder} acts: {call.path} token {call.token} {call.body}")
        if not self._is_on:
            return
        lease_age = call.at - self._lease_from
        if self._killed_at and call.holder == FIRST:
            self._record(f"the platform stops {FIRST} (SIGTERM)")
            self._killed_at = 0.0
            self._site.signal(FIRST, signal.SIGTERM)
            self.tasks.append(asyncio.create_task(self._restart(FIRST)))
        elif call.holder == SECOND and lease_age >= MIN_LEASE_AGE_SECONDS:
            self._record(f"the platform's fault kills {SECOND} (SIGKILL)")
            self._killed_at = call.at
            self._site.signal(SECOND, signal.SIGKILL)
            self.tasks.append(asyncio.create_task(self._restart(SECOND)))

    async def _restart(self, name: str) -> None:
        while self._site.processes[name].poll() is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(RESTART_SECONDS)
        self._site.start_host(name, NUMBERS[name], is_first_start=False)
        self._record(f"the platform starts {name} again")


def find_alternation(calls: list[Call]) -> tuple[Call, Call, Call] | None:
    """Return three calls of one duty in the order A, B, A inside the lease, or None."""
    for index, last in enumerate(calls):
        earlier = [c for c in calls[:index] if last.at - c.at < LEASE_SECONDS]
        for position, first in enumerate(earlier):
            if first.holder != last.holder:
                continue
            for other in earlier[position + 1 :]:
                if other.holder != first.holder:
                    return first, other, last
    return None


async def main() -> int:
    """Return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE") != "0"
    record, site = Record(FOLDER), Site()
    servers = [ServiceStandIn(f"i-{number}", 0.045) for number in range(2)]
    try:
        await site.start()
        for number, server in enumerate(servers):
            await server.start(site, 11 + number)
        site.configure()
        address = site.start_host(SECOND, NUMBERS[SECOND])
        if not await site.wait_ready(address):
            return 2
        await asyncio.sleep(2)
        other = site.start_host(FIRST, NUMBERS[FIRST], is_first_start=False)
        if not await site.wait_ready(other):
            return 2
        trouble = Trouble(site, record, is_on=has_trouble)
        until = time.time() + RUN_SECONDS
        callers = [
            asyncio.create_task(
                Caller(f"caller-{number}", host, "/lookup/1", "GET").run(
                    until, deadline_ms=1000, is_kept=True, pause=0.2
                )
            )
            for number, host in enumerate((address, other))
        ]
        found = None
        while time.time() < until and found is None:
            await asyncio.sleep(0.5)
            found = find_alternation(
                [c for c in site.cloud.calls if c.path == "/usage"]
            )
        for task in (*callers, *trouble.tasks):
            task.cancel()
        if not site.cloud.calls:
            return 2
        if found is None:
            record("ONE held: no two holders alternated inside the lease")
            return 0
        first, between, last = found
        record(
            f"ONE broken: {first.holder}, {between.holder}, {last.holder} acted within "
            f"{last.at - first.at:.3f} s; lease_ms is {LEASE_SECONDS * 1000:.0f}"
        )
        return 1
    finally:
        site.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
