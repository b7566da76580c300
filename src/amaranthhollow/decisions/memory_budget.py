"""Grants memory for what clients and endpoints send, within a host's budget."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import Enum

__all__ = [
    "Granted",
    "MakeRoom",
    "MemoryBudget",
    "NoRoom",
    "Purpose",
    "budget_bytes",
    "purposes_of_body",
    "still_seconds",
]

MEGABYTE = 1_048_576
# What the interpreter, the program, its tables and its connections take.
BASE_MEGABYTES = 40
# A body is copied where it is sent on, and the allocator keeps free memory in pieces.
BUDGET_RATIO = 0.4
# Room for one body of 4 MB and its response, whatever the setting.
MIN_BUDGET_MEGABYTES = 24
MAX_SMALL_BYTES = 16_384
MAX_MEDIUM_BYTES = 131_072
# A link of 5 Mbit/s carries 16 kB in 26 ms, and a lost packet is sent again within
# about 0.2 s. Bodies that move less are given up only while others lack room.
STILL_SECONDS = 0.5
# A caller acknowledges a response in steps of 131 kB (measured on loopback), which it
# reads within this time at 75 kB/s or more. With 0.5 s, one at 540 kB/s was evicted.
RESPONSE_STILL_SECONDS = 2.0


class Purpose(Enum):
    """What memory is held for; each purpose has a share of its own.

    Bodies count by their size, so that small ones find room whatever the large ones
    take. ``RESPONSES`` are read from endpoints and not yet read by callers.
    """

    SMALL_BODIES = "small bodies"
    MEDIUM_BODIES = "medium bodies"
    LARGE_BODIES = "large bodies"
    RESPONSES = "responses"


BODIES = (Purpose.SMALL_BODIES, Purpose.MEDIUM_BODIES, Purpose.LARGE_BODIES)
SHARES = {
    Purpose.SMALL_BODIES: 0.15,
    Purpose.MEDIUM_BODIES: 0.15,
    Purpose.LARGE_BODIES: 0.35,
    Purpose.RESPONSES: 0.35,
}


@dataclass(frozen=True)
class Granted:
    """The memory may be used."""


@dataclass(frozen=True)
class MakeRoom:
    """The memory may be used once these holders have given up theirs."""

    holders: tuple[int, ...]


@dataclass(frozen=True)
class NoRoom:
    """The memory may not be used; the holder keeps what it had before."""


@dataclass(frozen=True, slots=True)
class _Holding:
    purpose: Purpose
    size: int
    client: str
    moved_at: float


class MemoryBudget:
    """Accounts for memory by holder, and names who makes room for others.

    Example::

        budget = MemoryBudget(budget_bytes(160))
        budget.hold(1, Purpose.SMALL_BODIES, 2000, "10.0.0.1", now=0.0)  # Granted()
        budget.release(1)
    """

    def __init__(self, total_bytes: int) -> None:
        """Divide ``total_bytes`` among the purposes."""
        self.limits_by_purpose = {
            purpose: int(share * total_bytes) for purpose, share in SHARES.items()
        }
        self.held_by_purpose = dict.fromkeys(Purpose, 0)
        self._holdings: dict[int, _Holding] = {}
        self._pinned: set[int] = set()

    def hold(
        self, holder: int, purpose: Purpose, size: int, client: str, now: float
    ) -> Granted | MakeRoom | NoRoom:
        """Let ``holder`` hold ``size`` bytes in all, instead of what it held before.

        A growing holder moves. Holdings that can be evicted, and have not moved for
        :func:`still_seconds`, make room: first those of clients with several of them,
        and of these the one that has been still for longest.
        """
        held = self._holdings.get(holder)
        own = held.size if held is not None and held.purpose is purpose else 0
        excess = (
            self.held_by_purpose[purpose] - own + size - self.limits_by_purpose[purpose]
        )
        evicted: tuple[int, ...] = ()
        if excess > 0:
            evicted = self._choose_evicted(holder, purpose, excess, now)
            if not evicted:
                return NoRoom()
            for other in evicted:
                self.release(other)
        if held is not None:
            self.held_by_purpose[held.purpose] -= held.size
        self._holdings[holder] = _Holding(purpose, size, client, now)
        self.held_by_purpose[purpose] += size
        return MakeRoom(evicted) if evicted else Granted()

    def pin(self, holder: int) -> None:
        """Keep what a holder holds from being evicted, as its request may run."""
        if holder in self._holdings:
            self._pinned.add(holder)

    def unpin(self, holder: int, now: float) -> None:
        """Let it be evicted again, once it has not moved since ``now``."""
        holding = self._holdings.get(holder)
        if holding is not None:
            self._pinned.discard(holder)
            self._holdings[holder] = replace(holding, moved_at=now)

    def release(self, holder: int) -> None:
        """Take back what a holder holds, if anything."""
        holding = self._holdings.pop(holder, None)
        if holding is not None:
            self._pinned.discard(holder)
            self.held_by_purpose[holding.purpose] -= holding.size

    def _choose_evicted(
        self, holder: int, purpose: Purpose, excess: int, now: float
    ) -> tuple[int, ...]:
        """Return holders that together free ``excess`` bytes, or none if they don't."""
        counts_by_client = Counter(h.client for h in self._holdings.values())
        still_since = now - still_seconds(purpose)
        still = [
            (counts_by_client[holding.client] == 1, holding.moved_at, other)
            for other, holding in self._holdings.items()
            if holding.purpose is purpose
            and other not in self._pinned
            and other != holder
            and holding.moved_at <= still_since
        ]
        chosen = []
        for _, _, other in sorted(still):
            chosen.append(other)
            excess -= self._holdings[other].size
            if excess <= 0:
                return tuple(chosen)
        return ()


def budget_bytes(max_memory_megabytes: int) -> int:
    """Return the budget of a process that may take so many megabytes.

    Example::

        budget_bytes(160) // 1_048_576  # 48
    """
    budget = BUDGET_RATIO * (max_memory_megabytes - BASE_MEGABYTES)
    return int(max(MIN_BUDGET_MEGABYTES, budget) * MEGABYTE)


def still_seconds(purpose: Purpose) -> float:
    """Return after how long without movement a holding may be evicted."""
    if purpose is Purpose.RESPONSES:
        return RESPONSE_STILL_SECONDS
    return STILL_SECONDS


def purposes_of_body(size: int) -> tuple[Purpose, ...]:
    """Return the purposes in whose share a body of ``size`` bytes may find room.

    The first is its own. A smaller body may take what larger ones leave, not the other
    way round.
    """
    if size <= MAX_SMALL_BYTES:
        return BODIES
    if size <= MAX_MEDIUM_BYTES:
        return BODIES[1:]
    return BODIES[2:]
