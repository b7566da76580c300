"""Replicates the reports of all hosts by reconciling versions with one peer at a time.

Each process numbers the versions of its own report. A host states in a digest which
version of each process it knows, and its peer replies with what has changed since,
whichever host it came from. So a report reaches all hosts in a time that grows with the
logarithm of their number, and each host receives each change about once.

The report of a process that has ended is passed on for less time than any host keeps
it. Otherwise a host that has dropped it would get it back from one that has not.

Example::

    changes = peer.changes_for(host.digest(), now)
    for change in host.merge(changes, now):
        ...
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.endpoint_load import MAX_CHANGES, StatedLoad
from amaranthhollow.decisions.statement_relay import StatementRelay
from amaranthhollow.decisions.usage import CountsByWindow, merge_counts
from amaranthhollow.decoding import Amount, Label, Milliseconds, Number

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = [
    "REPORT_RETENTION_SECONDS",
    "ExchangePace",
    "HostReport",
    "ReportChanges",
    "ReportTable",
    "exchange_pace",
    "process_key",
]

# Small sites exchange with every peer twice a second, and ask it and are asked by it in
# turn; larger ones rely on relaying.
MAX_DIRECT_INTERVAL_SECONDS = 0.5
MAX_PING_INTERVAL_SECONDS = 0.1
PEERS_AT_MAX_PING_INTERVAL = 29
MIN_PUBLISH_INTERVAL_SECONDS = 0.05
# Bounds what each host receives: one report of each host a second at this many.
REPORTS_PER_SECOND = 200
# Where reports are published less often, the exchange has no room left. A report with
# statements then counts as more than one, by what they add to its usual size. Sites
# whose endpoints state nothing keep their pace.
LARGE_SITE_INTERVAL_SECONDS = 1.0
MAX_STATEMENTS_OF_LARGE_SITE = 2
STATEMENT_SHARE = 0.06
# The usage of a process that ended is needed until its last window is reported.
REPORT_RETENTION_SECONDS = 60.0
# Hosts differ by less than the rest of the retention on when a process last published.
MAX_RELAY_AGE_SECONDS = REPORT_RETENTION_SECONDS / 2
# Versions that a process publishes in a minute at the shortest interval.
MAX_VERSION_LEAD = 1_200
# All changes of a publish interval among 370 hosts take a third of it.
MAX_CHANGES_BYTES = 16_384
CHANGES_OVERHEAD_BYTES = 48
ENTRY_BYTES = 24


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """Usage and load caused by one host; ``usage`` and ``spent`` are cumulative.

    ``usage`` is by window and workspace, ``spent`` by workspace, and ``loads`` gives
    requests and pending prompt tokens by endpoint. ``can_relay`` is whether
    connections to endpoints may be relayed through the host, and ``can_read`` whether
    the store responds to it. ``statements`` are what endpoints have stated of their
    load in responses to the host since its last report.
    """

    usage: CountsByWindow
    spent: dict[Label, Amount]
    loads: dict[Label, EndpointLoad]
    can_relay: bool = True
    can_read: bool = True
    statements: dict[Label, StatedLoad] = {}


class ReportChanges(msgspec.Struct, frozen=True, array_like=True):
    """What changed in the report of one process from version ``since`` to ``version``.

    Holds whole windows of ``usage``, single workspaces of ``spent`` and all ``loads``,
    or None if these are unchanged. ``age_ms`` is the time for which the sender of the
    message has known ``version``. Ages in ``statements`` are those at the sending.
    """

    host: Label
    incarnation: Milliseconds
    since: Number
    version: Number
    age_ms: Number
    usage: CountsByWindow
    spent: dict[Label, Amount]
    loads: dict[Label, EndpointLoad] | None
    can_relay: bool
    can_read: bool = True
    statements: dict[Label, StatedLoad] = {}

    @property
    def process_id(self) -> str:
        """The name and incarnation of the host that published the report."""
        return f"{self.host}@{self.incarnation}"

    def seen_at(self, now: float) -> float:
        """Return when the process published this version, at the latest."""
        return now - max(0, self.age_ms) / 1000


@dataclass(frozen=True)
class ExchangePace:
    """How often a host exchanges reports, and how long one takes to reach all others.

    All in seconds; ``spread_seconds`` holds for nearly all hosts. Hosts may
    publish up to ``publish_stretch`` times as late, for the statements in a report.
    """

    ping_interval: float
    publish_interval: float
    spread_seconds: float
    publish_stretch: float = 1.0

    @property
    def max_age_seconds(self) -> float:
        """The age up to which the reports of reachable hosts are expected."""
        return self.publish_interval * self.publish_stretch + self.spread_seconds

    @property
    def max_statements(self) -> int:
        """The most statements of endpoints that a report holds."""
        is_large = self.publish_interval > LARGE_SITE_INTERVAL_SECONDS
        return MAX_STATEMENTS_OF_LARGE_SITE if is_large else MAX_CHANGES


def exchange_pace(peer_count: int, *, has_statements: bool = False) -> ExchangePace:
    """Return the pace of a host with ``peer_count`` peers, which bounds its traffic.

    Up to 9 peers are each asked at least twice a second. From 29 on a host asks ten
    peers a second in all, and publishes less often the more there are. With
    ``has_statements``, endpoints of the site state their load.
    """
    direct_interval = MAX_DIRECT_INTERVAL_SECONDS / max(1, peer_count)
    relayed_interval = MAX_PING_INTERVAL_SECONDS * min(
        1.0, peer_count / PEERS_AT_MAX_PING_INTERVAL
    )
    ping_interval = min(
        max(direct_interval, relayed_interval), MAX_PING_INTERVAL_SECONDS
    )
    publish_interval = max(
        MIN_PUBLISH_INTERVAL_SECONDS, peer_count / REPORTS_PER_SECOND
    )
    stretch = 1.0
    if has_statements:
        stretch = _publish_stretch(publish_interval, MAX_STATEMENTS_OF_LARGE_SITE)
    return ExchangePace(
        ping_interval,
        publish_interval,
        2 * log(peer_count + 1) * ping_interval,
        stretch,
    )


def _publish_stretch(interval: float, statements: int) -> float:
    """Return how much later a host publishes after a report with ``statements``."""
    is_large = interval > LARGE_SITE_INTERVAL_SECONDS
    return 1.0 + STATEMENT_SHARE * statements if is_large else 1.0


def process_key(host: str, incarnation: int) -> int:
    """Return the key of a process in digests."""
    return crc32(f"{host}@{incarnation}".encode())


@dataclass
class _Replica:
    """The newest known report of a process, with the version of each part."""

    host: str
    incarnation: int
    version: int = 0
    seen_at: float = 0.0
    usage: CountsByWindow = field(default_factory=dict)
    usage_versions: dict[int, int] = field(default_factory=dict)
    spent: dict[str, float] = field(default_factory=dict)
    spent_versions: dict[str, int] = field(default_factory=dict)
    loads: dict[str, EndpointLoad] = field(default_factory=dict)
    loads_version: int = 0
    can_relay: bool = True
    can_read: bool = True

    def apply(self, changes: ReportChanges, now: float) -> None:
        """Update to a newer version."""
        version = changes.version
        self.version = version
        self.seen_at = max(self.seen_at, changes.seen_at(now))
        self.can_relay = changes.can_relay
        self.can_read = changes.can_read
        if changes.usage:
            self.usage = merge_counts(self.usage, changes.usage)
            versions = {**self.usage_versions, **dict.fromkeys(changes.usage, version)}
            self.usage_versions = {window: versions[window] for window in self.usage}
        self.spent.update(changes.spent)
        self.spent_versions.update(dict.fromkeys(changes.spent, version))
        if changes.loads is not None:
            self.loads = changes.loads
            self.loads_version = version

    def changes_since(
        self, since: int, now: float, statements: dict[str, StatedLoad]
    ) -> ReportChanges:
        """Return what has changed after version ``since``, with ``statements``."""
        usage = {
            window: self.usage[window]
            for window, version in self.usage_versions.items()
            if version > since
        }
        spent = {
            workspace: self.spent[workspace]
            for workspace, version in self.spent_versions.items()
            if version > since
        }
        return ReportChanges(
            self.host,
            self.incarnation,
            since,
            self.version,
            max(0, int((now - self.seen_at) * 1000)),
            usage,
            spent,
            self.loads if self.loads_version > since else None,
            self.can_relay,
            self.can_read,
            statements,
        )


class ReportTable:
    """The reports of all processes known to one host, including its own."""

    def __init__(self, host: str, incarnation: int) -> None:
        """Start with an empty report of ``host``."""
        self._own = _Replica(host, incarnation)
        self._own_key = process_key(host, incarnation)
        self._replicas_by_key = {self._own_key: self._own}
        self._statements = StatementRelay()
        self._next_publish_at = 0.0
        self._cursor = 0

    def __len__(self) -> int:
        """Return the number of processes, including the own one."""
        return len(self._replicas_by_key)

    def is_publish_due(self, now: float) -> bool:
        """Return whether to publish the own report again."""
        return now >= self._next_publish_at

    def publish(self, report: HostReport, now: float, interval: float) -> None:
        """Publish a version of the own report, the next one after ``interval``.

        An unchanged report is published, too, which shows that this host still runs.
        """
        own = self._own
        usage = {w: c for w, c in report.usage.items() if own.usage.get(w) != c}
        spent = {w: n for w, n in report.spent.items() if own.spent.get(w) != n}
        is_first = own.version == 0
        loads = report.loads if is_first or report.loads != own.loads else None
        changes = ReportChanges(
            own.host,
            own.incarnation,
            own.version,
            own.version + 1,
            0,
            usage,
            spent,
            loads,
            report.can_relay,
            report.can_read,
        )
        own.apply(changes, now)
        self._statements.apply(self._own_key, own.version, report.statements, now)
        stretch = _publish_stretch(interval, len(report.statements))
        self._next_publish_at = now + interval * stretch

    def digest(self) -> dict[int, int]:
        """Return the known version of each process, by its key."""
        return {key: r.version for key, r in self._replicas_by_key.items()}

    def changes_for(
        self, digest: Mapping[int, int], now: float
    ) -> tuple[ReportChanges, ...]:
        """Return what a host with ``digest`` lacks, as far as it fits in a message.

        What does not fit comes first in the next reply.
        """
        self._own.seen_at = now
        replicas = list(self._replicas_by_key.items())
        start = self._cursor % len(replicas)
        chosen: list[ReportChanges] = []
        free_bytes = MAX_CHANGES_BYTES
        for offset, (key, replica) in enumerate(replicas[start:] + replicas[:start]):
            known_version = digest.get(key, 0)
            if known_version >= replica.version or _has_ended(replica.seen_at, now):
                continue
            statements = self._statements.since(key, known_version, now)
            changes = replica.changes_since(known_version, now, statements)
            free_bytes -= _size(changes)
            if free_bytes < 0 and chosen:
                self._cursor = start + offset
                break
            chosen.append(changes)
        return tuple(chosen)

    def merge(
        self, changes: Iterable[ReportChanges], now: float
    ) -> list[ReportChanges]:
        """Apply the changes that lead to newer versions, and return these."""
        applied = []
        for change in changes:
            key = process_key(change.host, change.incarnation)
            replica = self._replicas_by_key.get(key)
            if replica is None:
                replica = _Replica(change.host, change.incarnation)
            is_same = (replica.host, replica.incarnation) == (
                change.host,
                change.incarnation,
            )
            is_next = change.since <= replica.version < change.version
            if replica is self._own or not is_same or not is_next:
                continue
            if _has_ended(change.seen_at(now), now):
                continue
            replica.apply(change, now)
            self._statements.apply(key, change.version, change.statements, now)
            self._replicas_by_key[key] = replica
            applied.append(change)
        return applied

    def correct_version(self, host: str, incarnation: int, own_version: int) -> None:
        """Drop a report with a version that its process cannot have published.

        ``own_version`` is what the process itself states.
        """
        key = process_key(host, incarnation)
        replica = self._replicas_by_key.get(key)
        if replica is None or replica is self._own:
            return
        if replica.version > own_version + MAX_VERSION_LEAD:
            del self._replicas_by_key[key]

    def expire(self, now: float) -> list[str]:
        """Drop processes that have not published for long; return their names."""
        self._statements.expire(now)
        retained_since = now - REPORT_RETENTION_SECONDS
        expired = [
            key
            for key, replica in self._replicas_by_key.items()
            if replica.seen_at < retained_since and replica is not self._own
        ]
        dropped = [self._replicas_by_key.pop(key) for key in expired]
        return [f"{replica.host}@{replica.incarnation}" for replica in dropped]


def _has_ended(seen_at: float, now: float) -> bool:
    """Return whether a process last published so long ago that it must have ended."""
    return now - seen_at > MAX_RELAY_AGE_SECONDS


def _size(changes: ReportChanges) -> int:
    """Return an upper bound of the usual encoded size in bytes."""
    entries = len(changes.spent) + len(changes.loads or ()) + len(changes.statements)
    entries += sum(len(counts) for counts in changes.usage.values())
    return CHANGES_OVERHEAD_BYTES + len(changes.host) + ENTRY_BYTES * entries
