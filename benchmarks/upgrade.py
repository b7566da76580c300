"""Compares a rolling upgrade from each earlier version with a rolling restart.

Eight hosts are replaced one by one behind a balancer that sends callers to ready hosts
only. Prints the share of requests that were answered, and why others were not; checks
no bound.
"""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from tests.compatibility.earlier_build import EARLIER_COMMITS, extract_source
from tests.entry.entry_site import EntrySite
from tests.networks import next_network

__all__: list[str] = []

HOST_NUMBERS = tuple(range(21, 29))
ENDPOINT_NUMBERS = (11, 12, 13, 14)
REQUESTS_PER_SECOND = 60.0
BALANCER_INTERVAL_SECONDS = 0.25
SETTLE_SECONDS = 3.0


class Upgrade:
    """One replacement of all hosts, and what became of the callers' requests."""

    def __init__(self, site: EntrySite, source: Path | None) -> None:
        self.site = site
        self.source = source
        self.random = Random(1)
        self.ready: set[str] = set()
        self.results: Counter[str] = Counter()

    async def run(self) -> None:
        """Start all hosts from ``source``, and replace each by this version."""
        for number in ENDPOINT_NUMBERS:
            await self.site.add_endpoint(f"e{number}", number)
        for number in HOST_NUMBERS:
            self.site.start_daemon(f"host-{number}", number, source=self.source)
        for number in HOST_NUMBERS:
            await self.site.wait_ready(self.address(number))
        await asyncio.sleep(SETTLE_SECONDS)
        is_done = asyncio.Event()
        background = [
            asyncio.create_task(self.balance(is_done)),
            asyncio.create_task(self.send_requests(is_done)),
        ]
        await asyncio.sleep(SETTLE_SECONDS)
        for number in HOST_NUMBERS:
            process = self.site.processes[f"host-{number}"]
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(process.wait, 15)
            await self.site.wait_ready(self.site.start_daemon(f"host-{number}", number))
        await asyncio.sleep(SETTLE_SECONDS)
        is_done.set()
        await asyncio.gather(*background)

    def address(self, number: int) -> str:
        return f"{self.site.network}.{number}"

    async def balance(self, is_done: asyncio.Event) -> None:
        """Ask every host whether it is ready."""
        addresses = [self.address(number) for number in HOST_NUMBERS]
        while not is_done.is_set():
            statuses = await asyncio.gather(*map(self.site.ready_status, addresses))
            found = zip(addresses, statuses, strict=True)
            self.ready = {address for address, status in found if status == 200}
            await asyncio.sleep(BALANCER_INTERVAL_SECONDS)

    async def send_requests(self, is_done: asyncio.Event) -> None:
        """Send requests at random times until the end, and wait for all of them."""
        pending = []
        while not is_done.is_set():
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_SECOND))
            if self.ready:
                address = self.random.choice(sorted(self.ready))
                pending.append(asyncio.create_task(self.send(address, len(pending))))
        await asyncio.gather(*pending)

    async def send(self, address: str, number: int) -> None:
        try:
            response = await self.site.send_request(address, "/plain/", f"r{number}")
        except (OSError, EOFError, TimeoutError) as error:
            self.results[type(error).__name__] += 1
            return
        suffix = " not run" if "x-not-run" in response.headers else ""
        self.results[f"{response.status}{suffix}"] += 1


async def measure(name: str, commit: str | None) -> None:
    """Print the results of one upgrade, or of a restart without a commit."""
    with TemporaryDirectory() as folder:
        source = extract_source(commit, Path(folder) / "earlier") if commit else None
        site = EntrySite(Path(folder), next_network())
        await site.start()
        site.configure()
        upgrade = Upgrade(site, source)
        try:
            await upgrade.run()
        finally:
            await site.close()
    total = sum(upgrade.results.values())
    others = {k: n for k, n in upgrade.results.items() if k != "200"}
    print(f"{name}: {upgrade.results['200']} of {total} answered; others {others}")


async def main() -> None:
    """Measure a restart, and an upgrade from each earlier version."""
    await measure("restart", None)
    for commit in EARLIER_COMMITS:
        await measure(f"upgrade from {commit}", commit)


asyncio.run(main())
