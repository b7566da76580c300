"""Which form of messages each peer reads, while hosts of several versions run.

A process reads one form only, and its own messages show which. A peer that has sent
nothing yet is told everything in all forms, so that one of any version answers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from math import ceil

__all__ = [
    "EARLIER_ROUND_SECONDS",
    "PEERS_PER_EARLIER_ROUND",
    "PeerProtocol",
    "PeerProtocols",
    "earlier_pings",
    "earlier_report_age",
]


# A host of an earlier version pings that many peers in each round.
PEERS_PER_EARLIER_ROUND = 12
EARLIER_ROUND_SECONDS = 0.25


def earlier_pings(earlier_count: int, peer_count: int) -> int:
    """Return how many earlier peers to ping in each round, beside all others.

    Hosts of earlier versions learn of others only from these, and count one that they
    have not heard for two of their turns as lost.
    """
    share = earlier_count / max(1, peer_count)
    return min(earlier_count, ceil(PEERS_PER_EARLIER_ROUND * share))


def earlier_report_age(peer_count: int) -> float:
    """Return the age up to which reports to and from earlier hosts are expected."""
    return 2 * EARLIER_ROUND_SECONDS * peer_count / PEERS_PER_EARLIER_ROUND


class PeerProtocol(IntEnum):
    """The forms of pings and echoes; a number is never used for another one."""

    WHOLE_REPORTS = 1
    REPORT_CHANGES = 2


@dataclass(frozen=True)
class _Known:
    """The protocol of one process."""

    incarnation: int
    protocol: PeerProtocol


class PeerProtocols:
    """The protocols of the peers of one host, by what they have sent.

    Example::

        protocols = PeerProtocols()
        protocols.record("host-2", 7, PeerProtocol.WHOLE_REPORTS)
        protocols.forms_for("host-2")  # (PeerProtocol.WHOLE_REPORTS,)
    """

    def __init__(self) -> None:
        """Start without peers."""
        self._known_by_host: dict[str, _Known] = {}

    def record(self, host: str, incarnation: int, protocol: PeerProtocol) -> bool:
        """Record the protocol that a process of a host has used.

        A process of a later version also uses an earlier form, towards peers that it
        does not know. Return whether this was not known.
        """
        known = self._known_by_host.get(host)
        if known is not None and (incarnation, protocol) <= (
            known.incarnation,
            known.protocol,
        ):
            return False
        self._known_by_host[host] = _Known(incarnation, protocol)
        return known is None or known.protocol is not protocol

    def forms_for(self, host: str) -> tuple[PeerProtocol, ...]:
        """Return the forms in which to address a host, the newest first."""
        known = self._known_by_host.get(host)
        if known is None:
            return tuple(sorted(PeerProtocol, reverse=True))
        return (known.protocol,)

    def forget(self, host: str) -> None:
        """Address a host that no longer answers in all forms again.

        It may have been replaced by another version.
        """
        self._known_by_host.pop(host, None)

    def hosts_of(self, protocol: PeerProtocol) -> list[str]:
        """Return the peers that use a protocol, by name."""
        known = self._known_by_host.items()
        return sorted(host for host, k in known if k.protocol is protocol)
