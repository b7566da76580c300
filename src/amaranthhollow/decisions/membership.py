"""Which daemons are members, by heartbeat, suspicion and refutation.

A daemon whose exchange fails is suspected. The suspicion spreads as a fact; the
suspected daemon refutes it with a higher sequence, and is taken as lost when its
deadline passes first. Members are first learned from the platform's host list,
so that the list alone is enough to join.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.gossip import Fact, GossipTable, Version

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "DAEMON_FACT",
    "RECLAIM_FACT",
    "DaemonInfo",
    "DaemonStatus",
    "HostReclaim",
    "Membership",
    "host_list_interval",
]

DAEMON_FACT = "daemon"
RECLAIM_FACT = "reclaim"
LIST_INTERVAL_SECONDS = 1.0
LIST_READS_PER_SECOND = 16.0
SUSPICION_SECONDS = 3.0


class DaemonStatus(IntEnum):
    """What members think of a daemon."""

    ALIVE = 0
    SUSPECTED = 1
    DRAINING = 2
    LOST = 3


class DaemonInfo(msgspec.Struct, frozen=True, array_like=True):
    """What daemons tell each other about one of them."""

    address: str
    data_centre: str
    status: DaemonStatus


class HostReclaim(msgspec.Struct, frozen=True, array_like=True):
    """The notice for an entry host: it leaves at ``leaves_at`` (epoch seconds)."""

    incarnation: int
    leaves_at: float


def host_list_interval(daemon_count: int) -> float:
    """Return how many seconds a daemon waits between reads of the host list.

    All daemons together read it a bounded number of times a second, and tell each
    other what is new: ``host_list_interval(9)`` is 1.0, ``list_interval(370)`` 23.1.
    """
    return max(LIST_INTERVAL_SECONDS, daemon_count / LIST_READS_PER_SECOND)


class Membership:
    """The members that one daemon knows; the table of facts is the state."""

    def __init__(self, host: str, incarnation: int, info: DaemonInfo) -> None:
        """Start as the only member, in a new incarnation."""
        self._host = host
        self._own = Version(incarnation)
        self._suspicion_deadlines_by_host: dict[str, float] = {}
        self._infos_by_host: dict[str, DaemonInfo] = {host: info}
        self.table = GossipTable(host)
        self._publish(info)

    @property
    def hosts(self) -> list[str]:
        """Hosts of all daemons that are not lost, this one included."""
        return [
            host
            for host, info in self._infos_by_host.items()
            if info.status is not DaemonStatus.LOST
        ]

    @property
    def active_hosts(self) -> list[str]:
        """Hosts of the daemons that take new work."""
        return [
            host
            for host, info in self._infos_by_host.items()
            if info.status in (DaemonStatus.ALIVE, DaemonStatus.SUSPECTED)
        ]

    @property
    def peers(self) -> list[str]:
        """Hosts of the other daemons that are not lost."""
        return [host for host in self.hosts if host != self._host]

    @property
    def lost_hosts(self) -> list[str]:
        """Hosts of lost daemons; they are tried now and then, after a parting."""
        return [
            host
            for host, info in self._infos_by_host.items()
            if info.status is DaemonStatus.LOST
        ]

    def info(self, host: str) -> DaemonInfo | None:
        """Return what is known of the daemon on ``host``."""
        return self._infos_by_host.get(host)

    def infos_by_host(self) -> dict[str, DaemonInfo]:
        """Return a copy of what is known, by host."""
        return dict(self._infos_by_host)

    def drain(self) -> None:
        """Tell the others that this daemon is shutting down."""
        info = self._infos_by_host[self._host]
        self._own = Version(self._own.incarnation, self._own.sequence + 1)
        self._publish(msgspec.structs.replace(info, status=DaemonStatus.DRAINING))

    def add_listed(self, host: str, info: DaemonInfo, now: float) -> None:
        """Take in an entry host of the platform's list as a member to be tried.

        The version is below that of any running daemon, so that a late list
        cannot bring back one that is known to be lost.
        """
        if host not in self._infos_by_host:
            self.merge([Fact(DAEMON_FACT, host, Version(0), _encode(info))], now)

    def remove_unlisted(self, listed: Iterable[str]) -> None:
        """Drop lost daemons whose hosts the platform no longer lists."""
        kept = {*listed, self._host}
        for host, info in list(self._infos_by_host.items()):
            if info.status is DaemonStatus.LOST and host not in kept:
                del self._infos_by_host[host]
                self.table.remove(DAEMON_FACT, host)

    def merge(self, facts: Iterable[Fact], now: float) -> list[Fact]:
        """Take in facts and return those that were new."""
        fresh = self.table.merge(facts, len(self._infos_by_host))
        for fact in fresh:
            if fact.kind == DAEMON_FACT:
                self._apply(fact, now)
        return fresh

    def record_exchange_failure(self, host: str, now: float) -> None:
        """Suspect a daemon that did not answer; a draining one has stopped."""
        self._transition(host, DaemonStatus.ALIVE, DaemonStatus.SUSPECTED, now)
        self._transition(host, DaemonStatus.DRAINING, DaemonStatus.LOST, now)

    def expire_suspicions(self, now: float) -> list[str]:
        """Take as lost every daemon whose suspicion was not refuted in time."""
        lost = [
            host
            for host, deadline in self._suspicion_deadlines_by_host.items()
            if deadline <= now
        ]
        for host in lost:
            self._transition(host, DaemonStatus.SUSPECTED, DaemonStatus.LOST, now)
            self._suspicion_deadlines_by_host.pop(host, None)
        return lost

    def _transition(
        self, host: str, before: DaemonStatus, after: DaemonStatus, now: float
    ) -> None:
        info = self._infos_by_host.get(host)
        fact = self.table.get(DAEMON_FACT, host)
        if info is None or fact is None or info.status is not before:
            return
        version = Version(fact.version.incarnation, fact.version.sequence + 1)
        value = _encode(msgspec.structs.replace(info, status=after))
        self.merge([Fact(DAEMON_FACT, host, version, value)], now)

    def _apply(self, fact: Fact, now: float) -> None:
        info = msgspec.msgpack.decode(fact.value, type=DaemonInfo)
        if fact.name == self._host:
            self._refute(fact)
            return
        self._infos_by_host[fact.name] = info
        if info.status is DaemonStatus.SUSPECTED:
            deadline = now + SUSPICION_SECONDS
            self._suspicion_deadlines_by_host.setdefault(fact.name, deadline)
        else:
            self._suspicion_deadlines_by_host.pop(fact.name, None)

    def _refute(self, fact: Fact) -> None:
        """Answer a fact that another daemon made about this one."""
        if fact.version <= self._own:
            return
        self._own = Version(
            max(fact.version.incarnation, self._own.incarnation),
            fact.version.sequence + 1,
        )
        self._publish(self._infos_by_host[self._host])

    def _publish(self, info: DaemonInfo) -> None:
        self._infos_by_host[self._host] = info
        fact = Fact(DAEMON_FACT, self._host, self._own, _encode(info))
        self.table.merge([fact], len(self._infos_by_host))


def _encode(info: DaemonInfo) -> bytes:
    return msgspec.msgpack.encode(info)
