"""Tells lost links between a host and the endpoints from endpoints that failed.

A host that is partitioned from the endpoints fails to connect to all of them, while
its peers still can, and relay its connections. A failed connection alone shows only
that either the endpoint or the link to it is lost.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

__all__ = ["EndpointLinks", "RelayPeer", "preferred_relays"]

# Connections to several endpoints that fail one after the other show lost links.
MIN_FAILED_ENDPOINTS = 2
# A host that has just connected to an endpoint has links.
RECENT_SECONDS = 0.5


@dataclass(frozen=True)
class RelayPeer:
    """A peer, and whether it relays connections to endpoints."""

    address: str
    data_centre: str
    can_relay: bool


@dataclass
class EndpointLinks:
    """What one host knows of its links to the endpoints, from new connections.

    Times are on the monotonic clock.
    """

    _connected_at: float = float("-inf")
    _failed: set[str] = field(default_factory=set)
    _relayed: set[str] = field(default_factory=set)

    @property
    def are_lost(self) -> bool:
        """Whether new connections have to be relayed.

        Either several endpoints failed one after the other, or a peer has connected
        to the one that failed.
        """
        return self.is_loss_proven or len(self._failed) >= MIN_FAILED_ENDPOINTS

    @property
    def is_loss_proven(self) -> bool:
        """Whether a peer has connected to an endpoint to which this host could not."""
        return bool(self._failed & self._relayed)

    def may_reach(self, endpoint: str) -> bool:
        """Return whether a direct connection to ``endpoint`` is worth trying.

        If it is only suspected that the links are lost, other endpoints may be well.
        """
        return endpoint not in self._failed or not self.are_lost

    def are_doubtful(self, now: float) -> bool:
        """Return whether a connection may have failed for lost links."""
        return self.are_lost or now - self._connected_at >= RECENT_SECONDS

    def record_connected(self, now: float) -> None:
        """Record a direct connection."""
        self._connected_at = now
        self._failed.clear()
        self._relayed.clear()

    def record_failure(self, endpoint: str, now: float) -> None:
        """Record a direct connection to ``endpoint`` that failed."""
        if now - self._connected_at >= RECENT_SECONDS:
            self._failed.add(endpoint)

    def record_relayed(self, endpoint: str) -> None:
        """Record that a peer has connected to ``endpoint``."""
        self._relayed.add(endpoint)


def preferred_relays(
    peers: Iterable[RelayPeer], data_centre: str, random: Random
) -> list[str]:
    """Return the addresses of peers that relay, those in ``data_centre`` first.

    The order within each group is random, which divides the work among them.
    """
    relays = [peer for peer in peers if peer.can_relay]
    random.shuffle(relays)
    relays.sort(key=lambda peer: peer.data_centre != data_centre)
    return [peer.address for peer in relays]
