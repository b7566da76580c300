"""Remembers the hosts of a site, also while this host cannot reach them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["KnownHosts"]

# Longer than a roll-out, and than most partitions. The units of hosts that are gone for
# good are not spent until then.
RETENTION_SECONDS = 300.0


class KnownHosts:
    """The hosts that were known at any time in the last minutes.

    A host that is cut off forgets its peers within seconds. If it took itself for the
    only one, it would spend what belongs to all.
    """

    def __init__(self) -> None:
        """Start without any host."""
        self._seen_at_by_name: dict[str, float] = {}

    @property
    def names(self) -> list[str]:
        """The names of the hosts, sorted."""
        return sorted(self._seen_at_by_name)

    def __len__(self) -> int:
        return len(self._seen_at_by_name)

    def record(self, names: Iterable[str], now: float) -> None:
        """Record the hosts that are known now, and forget those of long ago."""
        self._seen_at_by_name.update(dict.fromkeys(names, now))
        known_since = now - RETENTION_SECONDS
        for name, seen_at in list(self._seen_at_by_name.items()):
            if seen_at < known_since:
                del self._seen_at_by_name[name]
