"""Rendezvous hashing: which member owns a key, with no table to agree on."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["owner", "ranked", "score"]


def score(key: str, member: str) -> int:
    """Return the weight of ``member`` for ``key``; the highest one owns it."""
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` from the owner of ``key`` to the last in line."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)


def owner(key: str, members: Iterable[str]) -> str | None:
    """Return the owner of ``key``, or None without members."""
    return max(members, key=lambda member: score(key, member), default=None)
