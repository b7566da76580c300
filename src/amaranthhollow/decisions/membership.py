"""Group membership of daemons, with failure detection by suspicion and refutation.

A daemon is suspected when a gossip exchange with it fails. The suspicion spreads as
a fact. The suspected daemon refutes it with a higher sequence number, or is marked
as lost after a deadline. New members are taken from the platform's host list, so
that a daemon needs nothing but the list to join.
"""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import msgspec
from result import Ok

from amaranthhollow.decisions.gossip import Fact, GossipTable, Version
from amaranthhollow.decoding import Label, decode_msgpack, is_host_address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

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
MIN_HOST_LIST_INTERVAL_SECONDS = 1.0
MAX_HOST_LIST_READS_PER_SECOND = 16.0
SUSPICION_SECONDS = 3.0


class DaemonStatus(IntEnum):
    """Status of a daemon, as other members see it."""

    ALIVE = 0
    SUSPECTED = 1
    DRAINING = 2
    LOST = 3


class DaemonInfo(msgspec.Struct, frozen=True, array_like=True):
    """Address, data centre and status of a daemon; the value of a daemon fact."""

    address: Label
    data_centre: Label
    status: DaemonStatus


class HostReclaim(msgspec.Struct, frozen=True, array_like=True):
    """Notice that an entry host is reclaimed at ``leaves_at`` (epoch seconds)."""

    incarnation: int
    leaves_at: float


def host_list_interval(daemon_count: int) -> float:
    """Return the seconds between two reads of the host list by one daemon.

    The interval bounds the reads per second by all daemons, which share changes by
    gossip. ``host_list_interval(9)`` is 1.0, ``host_list_interval(370)`` 23.1.
    """
    return max(
        MIN_HOST_LIST_INTERVAL_SECONDS, daemon_count / MAX_HOST_LIST_READS_PER_SECOND
    )


class Membership:
    """The members known to one daemon, replicated in the gossip table ``table``."""

    def __init__(self, host: str, incarnation: int, info: DaemonInfo) -> None:
        """Start with ``host`` as the only member, in a new ``incarnation``."""
        self._host = host
        self._own_version = Version(incarnation)
        self._suspicion_deadlines_by_host: dict[str, float] = {}
        self._infos_by_host: dict[str, DaemonInfo] = {host: info}
        self.table = GossipTable(host)
        # Facts that it refuses are not stored, so that they hide no later ones.
        self.is_acceptable: Callable[[Fact, float], bool] = lambda fact, now: True
        self._publish_own_info(info)

    @property
    def host(self) -> str:
        """The host of this daemon."""
        return self._host

    @property
    def hosts(self) -> list[str]:
        """Hosts of all daemons that are not lost, including this one."""
        return [
            host
            for host, info in self._infos_by_host.items()
            if info.status is not DaemonStatus.LOST
        ]

    @property
    def active_hosts(self) -> list[str]:
        """Hosts of the daemons that accept new requests."""
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
        """Hosts of lost daemons, tried occasionally in case a partition has ended."""
        return [
            host
            for host, info in self._infos_by_host.items()
            if info.status is DaemonStatus.LOST
        ]

    def info(self, host: str) -> DaemonInfo | None:
        """Return the known information on the daemon on ``host``."""
        return self._infos_by_host.get(host)

    def infos_by_host(self) -> dict[str, DaemonInfo]:
        """Return a copy of the information on all daemons, by host."""
        return dict(self._infos_by_host)

    def drain(self) -> None:
        """Announce to the other members that this daemon is shutting down."""
        info = self._infos_by_host[self._host]
        self._own_version = Version(
            self._own_version.incarnation, self._own_version.sequence + 1
        )
        self._publish_own_info(
            msgspec.structs.replace(info, status=DaemonStatus.DRAINING)
        )

    def add_listed(self, host: str, info: DaemonInfo, now: float) -> None:
        """Add an entry host of the platform's list as a member, if it is unknown.

        Its version is lower than that of any running daemon, so that an outdated
        list cannot restore a daemon that is known to be lost.
        """
        if host not in self._infos_by_host:
            self.merge([Fact(DAEMON_FACT, host, Version(0), _encode(info))], now)

    def remove_unlisted(self, listed: Iterable[str]) -> None:
        """Remove lost daemons whose hosts are no longer on the platform's list."""
        kept = {*listed, self._host}
        for host, info in list(self._infos_by_host.items()):
            if info.status is DaemonStatus.LOST and host not in kept:
                del self._infos_by_host[host]
                self.table.remove(DAEMON_FACT, host)

    def merge(self, facts: Iterable[Fact], now: float) -> list[Fact]:
        """Store facts that are newer than the known ones, and return these.

        Facts on daemons with an unreadable value are dropped, and those that
        ``is_acceptable`` refuses.
        """
        readable = [
            fact
            for fact in facts
            if (fact.kind != DAEMON_FACT or _decode(fact.value) is not None)
            and self.is_acceptable(fact, now)
        ]
        new_facts = self.table.merge(readable, len(self._infos_by_host))
        for fact in new_facts:
            if fact.kind == DAEMON_FACT:
                self._apply_daemon_fact(fact, now)
        return new_facts

    def record_exchange_failure(self, host: str, now: float) -> None:
        """Suspect a daemon that did not answer; if it was draining, it is lost."""
        self._transition(host, DaemonStatus.ALIVE, DaemonStatus.SUSPECTED, now)
        self._transition(host, DaemonStatus.DRAINING, DaemonStatus.LOST, now)

    def expire_suspicions(self, now: float) -> list[str]:
        """Mark daemons as lost that did not refute a suspicion in time; return them."""
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

    def _apply_daemon_fact(self, fact: Fact, now: float) -> None:
        info = _decode(fact.value)
        if info is None:
            return
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
        """Override a fact about this daemon that another one published."""
        if fact.version <= self._own_version:
            return
        self._own_version = Version(
            max(fact.version.incarnation, self._own_version.incarnation),
            fact.version.sequence + 1,
        )
        self._publish_own_info(self._infos_by_host[self._host])

    def _publish_own_info(self, info: DaemonInfo) -> None:
        self._infos_by_host[self._host] = info
        fact = Fact(DAEMON_FACT, self._host, self._own_version, _encode(info))
        self.table.merge([fact], len(self._infos_by_host))


def _encode(info: DaemonInfo) -> bytes:
    return msgspec.msgpack.encode(info)


def _decode(value: bytes) -> DaemonInfo | None:
    match decode_msgpack(value, DaemonInfo):
        case Ok(info) if is_host_address(info.address):
            return info
        case _:
            return None
