"""Clients that keep trying a ready machine, and the rule RECOVER on what they see."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from site3 import send_request

if TYPE_CHECKING:
    from site3 import Site

__all__ = ["Newcomers"]

CLIENTS = 8
PAUSE_SECONDS = 0.5


@dataclass
class Newcomers:
    """Eight clients, each of which opens a new connection for each request.

    ``tries`` holds the time, the client and the status of each; ``readiness`` the time
    and the answer of each question of the balancer, one a second.
    """

    site: Site
    host: str
    front: str
    tries: list[tuple[float, int, int | None]] = field(default_factory=list)
    readiness: list[tuple[float, bool]] = field(default_factory=list)

    async def run(self, seconds: float) -> None:
        """Try for some seconds."""
        ends_at = time.monotonic() + seconds
        clients = [self._try(number, ends_at) for number in range(CLIENTS)]
        await asyncio.gather(self._ask_readiness(ends_at), *clients)

    async def _ask_readiness(self, ends_at: float) -> None:
        while time.monotonic() < ends_at:
            is_ready = await self.site.is_ready(self.host)
            self.readiness.append((time.monotonic(), is_ready))
            self.site.record.add(f"readiness of {self.host}: {is_ready}")
            await asyncio.sleep(1.0)

    async def _try(self, number: int, ends_at: float) -> None:
        await asyncio.sleep(number * PAUSE_SECONDS / CLIENTS)
        count = 0
        while time.monotonic() < ends_at:
            count += 1
            started_at = time.monotonic()
            name = f"newcomer-{number}-{count}"
            status = await send_request(self.front, "/plain/", name)
            self.tries.append((started_at, number, status))
            self.site.record.add(f"{name} to {self.host}: {status or 'no answer'}")
            await asyncio.sleep(PAUSE_SECONDS)

    def breaches(self, stable_seconds: float) -> list[str]:
        """Return the spans in which a ready machine took none of seven clients."""
        taken = [at for at, _, status in self.tries if status is not None]
        bounds = [self.readiness[0][0], *sorted(taken), self.readiness[-1][0]]
        found = []
        for start, end in zip(bounds, bounds[1:], strict=False):
            clients = {n for at, n, _ in self.tries if start < at < end}
            ready = [is_ready for at, is_ready in self.readiness if start <= at <= end]
            if end - start >= stable_seconds and len(clients) >= 7 and all(ready):
                found.append(
                    f"RECOVER: {self.host} was ready, and took no new connection for "
                    f"{end - start:.1f} s, while {len(clients)} clients tried"
                )
        return found
