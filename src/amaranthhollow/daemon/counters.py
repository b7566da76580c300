"""Counters for the state dump, sent to statsd in batches."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from amaranthhollow.settings.model import Statsd

__all__ = ["Counters"]

FLUSH_SECONDS = 1.0


class Counters:
    """Counts by name, such as ``requests.admitted``."""

    def __init__(self, target: Statsd | None, prefix: str) -> None:
        """Send to ``target``, unless it is None, with ``prefix`` before each name."""
        self._totals_by_name: Counter[str] = Counter()
        self._unsent_by_name: Counter[str] = Counter()
        self._client = (
            statsd.StatsClient(str(target.address), target.port, prefix=prefix)
            if target is not None
            else None
        )

    def increment(self, name: str, count: int = 1) -> None:
        """Add ``count`` to a counter."""
        self._totals_by_name[name] += count
        if self._client is not None:
            self._unsent_by_name[name] += count

    def totals(self) -> dict[str, int]:
        """Return all counters by name, since the start."""
        return dict(sorted(self._totals_by_name.items()))

    def flush(self) -> None:
        """Send the increments since the last flush."""
        if self._client is None or not self._unsent_by_name:
            return
        with self._client.pipeline() as pipeline:
            for name, count in self._unsent_by_name.items():
                pipeline.incr(name, count)
        self._unsent_by_name.clear()

    async def flush_forever(self) -> None:
        """Flush at each interval, until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()
