"""Finds the software version that began a stream which a caller takes up again.

The host that relays the first event of a stream sends the version to a few holders
first. A host at which the stream is taken up asks them, and then all others. If none
knows the stream, it goes on only if every endpoint that may have begun it was of one
version.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec

from amaranthhollow.decisions.rendezvous import ranked
from amaranthhollow.decoding import Amount, Label

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = [
    "MIN_STREAM_SECONDS",
    "HolderTable",
    "OriginTable",
    "SeenVersions",
    "StreamOrigin",
    "StreamRecord",
    "VersionHistory",
    "resumable_version",
    "stream_lifetime",
]

# Any three hosts, or all of one data centre, may be lost with the one that began it.
HOLDER_COUNT = 4
GROUP_COUNT = 256
# Over all tries of its caller.
MIN_STREAM_SECONDS = 30.0
TRIES_PER_STREAM = 2
# Bounds the memory if callers begin streams faster than they expire.
MAX_ORIGINS = 20_000
# An endpoint is used once it is listed, which a host learns with this delay at most.
LIST_DELAY_SECONDS = 2.0
# A list that was not confirmed for longer may have had other versions in between, if
# nobody else is there to ask.
MAX_GAP_ALONE_SECONDS = LIST_DELAY_SECONDS
# Nor can several hosts rule that out that had none for longer. A shorter gap of all of
# them is one of the list itself, in which none could learn of a version.
MAX_CONFIRMATION_GAP_SECONDS = 5.0
# While all hosts are down, no stream begins. If another host was up, it knows what a
# host that restarts has missed.
MAX_RESTART_GAP_SECONDS = 15.0


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began; needed until ``expires_at``, in Unix seconds."""

    service: Label
    software_version: Label
    expires_at: Amount


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """What hosts need to take streams up after all of them have restarted.

    ``versions_by_service`` are the versions seen at ``written_at``, all since
    ``complete_since``; both in Unix seconds. ``origins`` are those of some streams, by
    the request that began each.
    """

    written_at: Amount
    complete_since: Amount
    versions_by_service: dict[Label, tuple[Label, ...]]
    origins: dict[str, StreamOrigin]


@dataclass(frozen=True)
class SeenVersions:
    """The versions of a service that one host has seen since a time.

    ``is_complete`` is whether it would have seen every other one, too.
    """

    versions: frozenset[str]
    is_complete: bool


class OriginTable:
    """The origins of streams that one host knows, the oldest first."""

    def __init__(self) -> None:
        """Start without origins."""
        self._origins_by_request: dict[str, StreamOrigin] = {}

    def __len__(self) -> int:
        """Return the number of origins."""
        return len(self._origins_by_request)

    def record(self, request_id: str, origin: StreamOrigin) -> None:
        """Store where the stream that ``request_id`` began has its origin."""
        self._origins_by_request.pop(request_id, None)
        self._origins_by_request[request_id] = origin
        if len(self._origins_by_request) > MAX_ORIGINS:
            del self._origins_by_request[next(iter(self._origins_by_request))]

    def find(self, request_id: str, service: str) -> str | None:
        """Return the software version that began a stream of a service, or None."""
        origin = self._origins_by_request.get(request_id)
        if origin is None or origin.service != service:
            return None
        return origin.software_version

    def origins(self, service: str) -> dict[str, StreamOrigin]:
        """Return the origins of a service's streams, by request."""
        return {
            request_id: origin
            for request_id, origin in self._origins_by_request.items()
            if origin.service == service
        }

    def expire(self, now: float) -> None:
        """Drop the origins of streams that have ended by ``now``."""
        for request_id, origin in list(self._origins_by_request.items()):
            if origin.expires_at <= now:
                del self._origins_by_request[request_id]


class VersionHistory:
    """Which software versions each service has had, as far as one host knows.

    Example::

        history = VersionHistory(is_first_start=True)
        history.observe({"model": {"v1"}}, confirmed_at=10.0)
        history.seen("model", since=0.0, now=11.0)
    """

    def __init__(self, *, is_first_start: bool) -> None:
        """Start without versions; on the first start there were none before."""
        self._last_seen_at: dict[tuple[str, str], float] = {}
        self._complete_since = float("-inf") if is_first_start else float("inf")
        self._unbroken_since = self._complete_since
        self._confirmed_at: float | None = None
        self._first_confirmed_at: float | None = None
        self._adopted_until = float("-inf")
        self._adopted_since = float("inf")

    @property
    def complete_since(self) -> float:
        """The time since which every version was seen; infinity if never."""
        return self._complete_since

    def adopt(
        self,
        versions_by_service: Mapping[str, Iterable[str]],
        as_of: float,
        complete_since: float,
    ) -> None:
        """Take over, after a restart, what was seen until ``as_of``.

        The history stays complete if the gap to the first own list is short.
        """
        for service, versions in versions_by_service.items():
            for version in versions:
                key = (service, version)
                self._last_seen_at[key] = max(as_of, self._last_seen_at.get(key, as_of))
        self._adopted_until, self._adopted_since = as_of, complete_since
        self._extend_to_adopted()

    def _extend_to_adopted(self) -> None:
        """Let the history begin with what was adopted, if no list was missed."""
        first = self._first_confirmed_at
        if first is None or self._complete_since != first:
            return
        if first - self._adopted_until <= MAX_RESTART_GAP_SECONDS:
            self._complete_since = min(first, self._adopted_since)
            if self._unbroken_since == first:
                self._unbroken_since = self._complete_since

    def observe(
        self, versions_by_service: Mapping[str, Iterable[str]], confirmed_at: float
    ) -> None:
        """Record the versions of a list that was confirmed at ``confirmed_at``."""
        previous = self._confirmed_at
        if self._complete_since == float("inf"):
            self._complete_since = self._first_confirmed_at = confirmed_at
            self._unbroken_since = confirmed_at
            self._extend_to_adopted()
        elif previous is not None:
            gap = confirmed_at - previous
            if gap > MAX_CONFIRMATION_GAP_SECONDS:
                self._complete_since = confirmed_at
            if gap > MAX_GAP_ALONE_SECONDS:
                self._unbroken_since = confirmed_at
        self._confirmed_at = max(confirmed_at, previous or confirmed_at)
        for service, versions in versions_by_service.items():
            for version in versions:
                self._last_seen_at[(service, version)] = self._confirmed_at

    def versions_since(self, since: float) -> dict[str, tuple[str, ...]]:
        """Return the versions of each service that were seen since a time."""
        found: dict[str, tuple[str, ...]] = {}
        for (service, version), at in self._last_seen_at.items():
            if at >= since:
                found[service] = (*found.get(service, ()), version)
        return found

    def seen(
        self, service: str, since: float, now: float, *, is_alone: bool = False
    ) -> SeenVersions:
        """Return the versions that a service has had since a time.

        A host that ``is_alone`` has no other to tell of a version that came and went
        between two of its lists.
        """
        since -= LIST_DELAY_SECONDS
        confirmed_at = self._confirmed_at
        is_current = confirmed_at is not None and (
            confirmed_at >= now - LIST_DELAY_SECONDS
        )
        versions = frozenset(
            version
            for (name, version), at in self._last_seen_at.items()
            if name == service and at >= since
        )
        complete_since = self._unbroken_since if is_alone else self._complete_since
        return SeenVersions(versions, is_current and complete_since <= since)


def stream_lifetime(timeout_seconds: float) -> float:
    """Return for how many seconds a stream of a route may be taken up again."""
    return max(MIN_STREAM_SECONDS, TRIES_PER_STREAM * timeout_seconds)


class HolderTable:
    """Chooses the hosts that hold a stream's origin, in different data centres first.

    Streams are grouped, so that the choice among many hosts is rarely made anew. All
    hosts that know the same others choose the same holders.
    """

    def __init__(self) -> None:
        """Start without hosts."""
        self._data_centres_by_host: Mapping[str, str] = {}
        self._holders_by_group: dict[int, tuple[str, ...]] = {}

    def holders(
        self, request_id: str, data_centres_by_host: Mapping[str, str]
    ) -> tuple[str, ...]:
        """Return the holders of the stream that ``request_id`` began."""
        if data_centres_by_host != self._data_centres_by_host:
            self._data_centres_by_host = dict(data_centres_by_host)
            self._holders_by_group.clear()
        group = crc32(request_id.encode()) % GROUP_COUNT
        chosen = self._holders_by_group.get(group)
        if chosen is None:
            chosen = _choose_holders(f"streams/{group}", self._data_centres_by_host)
            self._holders_by_group[group] = chosen
        return chosen


def _choose_holders(
    key: str, data_centres_by_host: Mapping[str, str]
) -> tuple[str, ...]:
    order = list(ranked(key, data_centres_by_host))
    first_of_data_centre: dict[str, str] = {}
    for host in order:
        first_of_data_centre.setdefault(data_centres_by_host[host], host)
    spread = list(first_of_data_centre.values())
    others = [host for host in order if host not in spread]
    return tuple([*spread, *others][:HOLDER_COUNT])


def resumable_version(seen: Iterable[SeenVersions], *, is_cut_off: bool) -> str | None:
    """Return the only version that may have begun a stream of unknown origin.

    ``seen`` is what this host and others have seen since the stream may have begun.
    None if there were several, if no host would have seen all, or if this host has
    peers and reaches none: it does not know yet what it misses.
    """
    if is_cut_off:
        return None
    known = list(seen)
    versions = frozenset().union(*(found.versions for found in known))
    is_complete = any(found.is_complete for found in known)
    return next(iter(versions)) if is_complete and len(versions) == 1 else None
