"""Reads the platform's host list and publishes its changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Ok

from amaranthhollow.decisions.endpoints import EndpointStatus, ListedEndpoint
from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.membership import (
    RECLAIM_FACT,
    DaemonInfo,
    DaemonStatus,
    HostReclaim,
    host_list_interval,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.daemon.gossiper import Gossiper
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.state.host_list import HostEntry, HostListing

__all__ = ["Discovery"]

RECLAIM_CHECK_SECONDS = 0.25
RECLAIM_RETENTION_SECONDS = 600.0

log = logbook.Logger("discovery")


class Discovery:
    """Applies the platform's host list to the node and publishes it by gossip."""

    def __init__(
        self, node: Node, gossiper: Gossiper, on_reclaim: Callable[[float], None]
    ) -> None:
        """Publish facts through ``gossiper``.

        ``on_reclaim`` is called with the instant at which this host is reclaimed, in
        Unix seconds.
        """
        self._on_reclaim = on_reclaim
        self._node = node
        self._gossiper = gossiper
        self._is_list_available = True
        self._own_incarnation: int | None = None

    async def run(self) -> None:
        """Read the list at each interval, until cancelled."""
        while True:
            await self.read_list()
            interval = host_list_interval(len(self._node.membership.hosts))
            await asyncio.sleep(interval * self._node.random.uniform(0.9, 1.1))

    async def run_reclaim_check(self) -> None:
        """Check for a reclaim of this daemon's host, until cancelled."""
        while True:
            await asyncio.sleep(RECLAIM_CHECK_SECONDS)
            self.check_own_host()

    async def read_list(self) -> None:
        """Read the list once; if that fails, the known hosts are kept."""
        listing = await self._node.host_list.read()
        self._log_availability(isinstance(listing, Ok))
        if isinstance(listing, Ok):
            self._apply_listing(listing.ok_value)

    def _apply_listing(self, listing: HostListing) -> None:
        node = self._node
        entries = [h for h in listing.hosts if h.role == "entry"]
        self._publish_reclaims([*entries, *listing.notices])
        for entry in entries:
            info = DaemonInfo(entry.address, entry.data_centre, DaemonStatus.ALIVE)
            node.membership.add_listed(entry.host, info, node.now())
        node.membership.remove_unlisted(entry.host for entry in entries)
        listed = [_listed_endpoint(h) for h in listing.hosts if h.role == "endpoint"]
        facts = node.endpoints.facts_from_list(listed)
        self._gossiper.publish(facts)
        node.endpoints.update_listed({item.host for item in listed}, node.now())
        notices = (
            node.endpoints.leaving_fact(notice.host, notice.leaves_at)
            for notice in listing.notices
        )
        self._gossiper.publish(fact for fact in notices if fact is not None)

    def check_own_host(self) -> None:
        """Call ``on_reclaim`` if a reclaim of this daemon's host is announced."""
        fact = self._node.membership.table.get(RECLAIM_FACT, self._node.settings.host)
        if fact is None or self._own_incarnation is None:
            return
        reclaim = msgspec.msgpack.decode(fact.value, type=HostReclaim)
        if reclaim.incarnation == self._own_incarnation:
            self._on_reclaim(reclaim.leaves_at)

    def _publish_reclaims(self, entries: list[HostEntry]) -> None:
        """Publish which entry hosts are to be reclaimed."""
        facts = []
        for entry in entries:
            if entry.host == self._node.settings.host:
                self._own_incarnation = entry.incarnation
            if entry.role == "entry" and entry.state == "leaving" and entry.leaves_at:
                reclaim = HostReclaim(entry.incarnation, entry.leaves_at)
                value = msgspec.msgpack.encode(reclaim)
                version = Version(entry.incarnation)
                facts.append(Fact(RECLAIM_FACT, entry.host, version, value))
        self._gossiper.publish(facts)
        self._remove_expired_reclaims()

    def _remove_expired_reclaims(self) -> None:
        node = self._node
        for fact in node.membership.table.facts_of_kind(RECLAIM_FACT):
            reclaim = msgspec.msgpack.decode(fact.value, type=HostReclaim)
            if reclaim.leaves_at + RECLAIM_RETENTION_SECONDS <= node.now():
                node.membership.table.remove(RECLAIM_FACT, fact.name)

    def _log_availability(self, is_available: bool) -> None:
        if is_available is self._is_list_available:
            return
        self._is_list_available = is_available
        state = "available" if is_available else "unavailable"
        log.warning("the platform's host list is {}", state)


def _listed_endpoint(entry: HostEntry) -> ListedEndpoint:
    is_leaving = entry.state == "leaving"
    return ListedEndpoint(
        host=entry.host,
        incarnation=entry.incarnation,
        address=entry.address,
        port=entry.port,
        data_centre=entry.data_centre,
        deployment=entry.deployment,
        status=EndpointStatus.LEAVING if is_leaving else EndpointStatus.LIVE,
        leaves_at=entry.leaves_at,
    )
