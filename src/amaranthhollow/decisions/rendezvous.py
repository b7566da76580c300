"""Rendezvous hashing, which assigns keys to members without shared state."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["owner", "ranked", "score"]

UINT64_MASK = (1 << 64) - 1
# Multipliers of the splitmix64 finalizer.
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB
MEMBER_HASH_CACHE_SIZE = 8192


def score(key: str, member: str) -> int:
    """Return the score of ``member`` for ``key``; the highest score owns the key."""
    return _mix(_hash(key) ^ _member_hash(member))


def ranked(key: str, members: Iterable[str]) -> Iterator[str]:
    """Yield ``members`` by descending score for ``key``, its owner first.

    Most callers need only the first, so the others are sorted on demand.
    """
    key_hash = _hash(key)
    scored_members = [
        (_mix(key_hash ^ _member_hash(member)), member) for member in members
    ]
    if not scored_members:
        return
    first = max(scored_members)
    yield first[1]
    scored_members.remove(first)
    scored_members.sort(reverse=True)
    for _, member in scored_members:
        yield member


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the owner of ``key``, or None if there are no members."""
    return next(ranked(key, members), None)


def _mix(value: int) -> int:
    value = ((value ^ (value >> 30)) * FIRST_MULTIPLIER) & UINT64_MASK
    value = ((value ^ (value >> 27)) * SECOND_MULTIPLIER) & UINT64_MASK
    return value ^ (value >> 31)


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=MEMBER_HASH_CACHE_SIZE)
def _member_hash(member: str) -> int:
    return _hash(member)
