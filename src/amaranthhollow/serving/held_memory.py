"""Memory that connections hold, within the budget of the host."""

from __future__ import annotations

import asyncio
from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

from amaranthhollow.decisions.memory_budget import (
    MakeRoom,
    MemoryBudget,
    NoRoom,
    Purpose,
    budget_bytes,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["HeldMemory"]

# Where neither the settings nor the system tell; docs/CAPACITY.md has the target.
DEFAULT_MEGABYTES = 256
# Each try looks through all holdings, about 0.1 ms for 300 of them.
ROOM_POLL_SECONDS = 0.1
# A waiting request takes a place among those in progress, 247 on a host with 1,638
# descriptors. Without a bound, a crowd that did not read kept all others out.
MAX_WAITING = 32
SHORT_WAIT_SECONDS = 0.6


class HeldMemory:
    """Asks the budget on behalf of connections, and has others make room.

    Example::

        memory = HeldMemory()
        holder = memory.new_holder(connection.make_room)
        if memory.try_hold(holder, Purpose.SMALL_BODIES, 2000, "10.0.0.1"):
            ...
        memory.release(holder)
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Hold memory within ``budget``, by default that of a host of 256 MB."""
        self.budget = budget or MemoryBudget(budget_bytes(DEFAULT_MEGABYTES))
        self.refused_by_purpose: Counter[Purpose] = Counter()
        self.evicted_by_purpose: Counter[Purpose] = Counter()
        self.waiting_count = 0
        self._holders = count()
        self._evict_by_holder: dict[int, Callable[[], None]] = {}

    @property
    def largest_body_bytes(self) -> int:
        """The size of the largest body for which there is room, without any others."""
        return self.budget.limits_by_purpose[Purpose.LARGE_BODIES]

    def try_hold(
        self,
        holder: int | None,
        purpose: Purpose,
        size: int,
        client: str,
        evict: Callable[[], None],
    ) -> int | None:
        """Return the holder, a new one for None, or None if there is no room.

        ``evict`` is called when the holder has to give up its memory, which has been
        taken back by then.
        """
        if holder is None:
            holder = next(self._holders)
        decision = self.budget.hold(holder, purpose, size, client, now())
        if isinstance(decision, NoRoom):
            return None
        self._evict_by_holder[holder] = evict
        if isinstance(decision, MakeRoom):
            for other in decision.holders:
                self.evicted_by_purpose[purpose] += 1
                self._evict_by_holder.pop(other)()
        return holder

    async def wait_for_room(
        self, purpose: Purpose, try_hold: Callable[[], bool], wait_until: float
    ) -> bool:
        """Return whether ``try_hold`` found room before ``wait_until``.

        Beyond ``MAX_WAITING`` others, it tries only for ``SHORT_WAIT_SECONDS``.
        """
        if self.waiting_count >= MAX_WAITING:
            wait_until = min(wait_until, now() + SHORT_WAIT_SECONDS)
        self.waiting_count += 1
        try:
            while (left := wait_until - now()) > 0:
                await asyncio.sleep(min(ROOM_POLL_SECONDS, left))
                if try_hold():
                    return True
        finally:
            self.waiting_count -= 1
        self.count_refused(purpose)
        return False

    def count_refused(self, purpose: Purpose) -> None:
        """Count a request or a response that was given up for want of room."""
        self.refused_by_purpose[purpose] += 1

    def pin(self, holder: int | None) -> None:
        """Keep the memory of a holder from being evicted."""
        if holder is not None:
            self.budget.pin(holder)

    def unpin(self, holder: int | None) -> None:
        """Let the memory of a holder be evicted from some time after now."""
        if holder is not None:
            self.budget.unpin(holder, now())

    def release(self, holder: int | None) -> None:
        """Take back the memory of a holder."""
        if holder is not None:
            self.budget.release(holder)
            self._evict_by_holder.pop(holder, None)
