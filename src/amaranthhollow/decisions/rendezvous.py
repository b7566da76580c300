"""Rendezvous hashing: which member owns a key, with no table to agree on."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ["owner", "ranked", "score"]

MASK = (1 << 64) - 1
# The multipliers of the splitmix64 finalizer.
FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
SECOND_MULTIPLIER = 0x94D049BB133111EB
MEMBERS_REMEMBERED = 8192


def score(key: str, member: str) -> int:
    """Return the weight of ``member`` for ``key``; the highest one owns it."""
    return _mix(_hash(key) ^ _member_hash(member))


def ranked(key: str, members: Iterable[str]) -> Iterator[str]:
    """Yield ``members`` from the owner of ``key`` to the last in line.

    Most callers stop at the first, so the others are sorted only when asked for.
    """
    key_hash = _hash(key)
    scored = [(_mix(key_hash ^ _member_hash(member)), member) for member in members]
    if not scored:
        return
    first = max(scored)
    yield first[1]
    scored.remove(first)
    scored.sort(reverse=True)
    for _, member in scored:
        yield member


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the owner of ``key``, or None without members."""
    return next(ranked(key, members), None)


def _mix(value: int) -> int:
    value = ((value ^ (value >> 30)) * FIRST_MULTIPLIER) & MASK
    value = ((value ^ (value >> 27)) * SECOND_MULTIPLIER) & MASK
    return value ^ (value >> 31)


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


@lru_cache(maxsize=MEMBERS_REMEMBERED)
def _member_hash(member: str) -> int:
    return _hash(member)
