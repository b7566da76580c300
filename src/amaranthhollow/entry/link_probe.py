"""Finds out when a host that has lost its links to endpoints has them again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.entry.host import Host

__all__ = ["LinkProbe"]

PROBE_INTERVAL_SECONDS = 0.5
# Some of the endpoints may have failed.
ENDPOINTS_PER_PROBE = 2


class LinkProbe:
    """Connects to endpoints at random while the links of a host are lost."""

    def __init__(self, host: Host) -> None:
        """Probe on behalf of ``host``."""
        self._host = host

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            if self._host.dialer.has_links:
                continue
            listed = [e for e in self._host.site.endpoints.all() if e.is_listed]
            count = min(len(listed), ENDPOINTS_PER_PROBE)
            chosen = self._host.random.sample(listed, count)
            await asyncio.gather(*(self._probe(endpoint) for endpoint in chosen))

    async def _probe(self, endpoint: Endpoint) -> None:
        listed = endpoint.listed
        connection = await self._host.dialer.dial_directly(listed.address, listed.port)
        if connection is not None:
            connection.close()
