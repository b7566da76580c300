"""When to warn of messages of peers, so that a log holds few lines on one fault."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MixedVersions", "UnreadableMessages"]

UNREADABLE_INTERVAL_SECONDS = 60.0
# Many hosts of one other version, each with the forms that it sends.
MAX_SOURCES = 512
# An upgrade of a whole site takes less.
MIXED_INTERVAL_SECONDS = 900.0


@dataclass
class _Source:
    """Messages of one form from one address."""

    warned_at: float
    unreported: int = 0


class UnreadableMessages:
    """Counts messages that cannot be read, by the address and form of each.

    Example::

        messages = UnreadableMessages()
        messages.record("10.0.0.9", "later of 5", now=0.0)  # 1
        messages.record("10.0.0.9", "later of 5", now=1.0)  # 0
        messages.record("10.0.0.9", "later of 5", now=61.0)  # 2
    """

    def __init__(self) -> None:
        """Start without messages."""
        self._sources: dict[tuple[str, str], _Source] = {}

    def record(self, address: str, form: str, now: float) -> int:
        """Count a message; return how many to warn of now, or 0.

        Addresses and forms beyond a maximum are not told apart from each other.
        """
        key = (address, form)
        if key not in self._sources and len(self._sources) >= MAX_SOURCES:
            key = ("", "")
        source = self._sources.get(key)
        if source is None:
            self._sources[key] = _Source(now)
            return 1
        source.unreported += 1
        if now < source.warned_at + UNREADABLE_INTERVAL_SECONDS:
            return 0
        count, source.unreported = source.unreported, 0
        source.warned_at = now
        return count


class MixedVersions:
    """Tells when hosts of earlier versions have been among the peers for long."""

    def __init__(self) -> None:
        """Start with hosts of one version."""
        self._mixed_since: float | None = None
        self._warned_at = 0.0

    def record(self, earlier_count: int, now: float) -> float | None:
        """Return for how many seconds the site is mixed if a warning is due."""
        if not earlier_count:
            self._mixed_since = None
            return None
        if self._mixed_since is None:
            self._mixed_since = self._warned_at = now
        if now < self._warned_at + MIXED_INTERVAL_SECONDS:
            return None
        self._warned_at = now
        return now - self._mixed_since
