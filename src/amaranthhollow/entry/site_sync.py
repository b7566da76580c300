"""Reads the configuration and endpoints from the store, and registers the host."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.build import build_name
from amaranthhollow.decisions.freshness import (
    READ_INTERVAL_SECONDS,
    Freshness,
    seconds_until_read,
    seconds_until_retry,
)
from amaranthhollow.decisions.membership import DaemonInfo, DaemonStatus
from amaranthhollow.decisions.oversized_items import OversizedItems
from amaranthhollow.decisions.peer_protocols import PeerProtocol
from amaranthhollow.platform.names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
)
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now
from amaranthhollow.state.host_registry import (
    HOSTS_PREFIX,
    RegisteredHost,
    decode_hosts,
)
from amaranthhollow.state.site_state import EndpointSnapshot, StoredEntry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from amaranthhollow.decisions.store_position import StorePosition
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.store import Lease, Snapshot, StoredItem

__all__ = ["HostRegistration", "SiteSync"]

MIN_POLL_INTERVAL_SECONDS = 0.05
MAX_POLL_INTERVAL_SECONDS = 0.2
# Several poll intervals; a longer pause means that the process was frozen.
FREEZE_THRESHOLD_SECONDS = 1.7
# A slow store responds within 0.25 s. A read that outlasts the interval between reads
# is cancelled, and the next one starts.
CALL_TIMEOUT_SECONDS = 0.8
# Time to receive a configuration of 1 MB over a link of 5 Mbit/s.
CONFIGURATION_TIMEOUT_SECONDS = 2.0
# The first host hears of a change at once, and of none by the time of its next read.
WATCH_SECONDS = 0.5
MIN_WATCH_SECONDS = 0.02
# The changes since the last watch may exceed what a response may have. The newest one
# is then read alone.
MAX_FAILED_WATCHES = 2
UNKNOWN_VERSION = -2
# A registration tells new hosts whom to ask. Gossip tells who is alive, so the entry of
# a host that is gone costs a new one only a few pings.
REGISTRATION_LEASE_SECONDS = 60.0
RENEWAL_INTERVAL_SECONDS = 20.0
REGISTRATION_POLL_SECONDS = 0.5
# A host that has found nobody reads the list again: it was the first to start, or all
# that it found are gone.
LIST_INTERVAL_SECONDS = 2.0

log = logbook.Logger("store")


@dataclass(frozen=True)
class _WatchedConfiguration:
    """The position up to which the configuration is known, and its version there."""

    position: StorePosition
    version: int


@dataclass
class _Document:
    """A document in the store, and the state of this host's reads of it.

    ``read`` gets the time at which it is called, and returns whether the store
    responded.
    """

    freshness: Callable[[], Freshness]
    read: Callable[[float], Awaitable[bool]]
    next_read_at: float = 0.0
    failures: int = 0
    task: asyncio.Task[None] | None = None


class SiteSync:
    """Reads the store when no host has recently done so.

    The configuration is read once and then watched, since it may be large. The
    endpoints are read as a whole, because their entries change all the time.
    """

    def __init__(self, host: Host) -> None:
        """Read the store on behalf of ``host``."""
        self._host = host
        site = host.site
        self._documents = (
            _Document(lambda: site.configuration_freshness, self._read_configuration),
            _Document(lambda: site.endpoints_freshness, self._read_endpoints),
        )
        self._watched: _WatchedConfiguration | None = None
        self._failed_watches = 0
        self._oversized = OversizedItems()

    async def run(self) -> None:
        """Read the store whenever a read is due, until cancelled."""
        last_polled_at = now()
        try:
            while True:
                instant = now()
                if instant - last_polled_at > FREEZE_THRESHOLD_SECONDS:
                    log.info(
                        "process was frozen",
                        extra={"seconds": instant - last_polled_at},
                    )
                    self._host.site.process_resumed(instant)
                last_polled_at = instant
                self._host.site.tick(instant)
                for document in self._documents:
                    if document.task is None and self._seconds_until_due(document) <= 0:
                        document.task = asyncio.create_task(self._read(document))
                await asyncio.sleep(self._poll_interval())
        finally:
            for document in self._documents:
                if document.task is not None:
                    document.task.cancel()

    def _poll_interval(self) -> float:
        if self._host.site.has_pending_removals:
            return MIN_POLL_INTERVAL_SECONDS
        seconds = min(self._seconds_until_due(d) for d in self._documents)
        return min(max(seconds, MIN_POLL_INTERVAL_SECONDS), MAX_POLL_INTERVAL_SECONDS)

    def _seconds_until_due(self, document: _Document) -> float:
        """Return the seconds until this host should read, unless a peer reads first."""
        host, instant = self._host, now()
        due_in = seconds_until_read(
            document.freshness(), host.rank, instant, host.spread_seconds
        )
        return max(due_in, document.next_read_at - instant)

    async def _read(self, document: _Document) -> None:
        requested_at = now()
        document.next_read_at = requested_at + READ_INTERVAL_SECONDS
        try:
            succeeded = await document.read(requested_at)
        finally:
            document.task = None
        if succeeded and document.failures:
            log.info("store reachable again", extra={"failures": document.failures})
        if not succeeded and not document.failures:
            log.warning("store unreachable")
        document.failures = 0 if succeeded else document.failures + 1
        self._host.can_read = not any(d.failures for d in self._documents)
        if not succeeded:
            seconds = seconds_until_retry(self._host.rank, document.failures)
            document.next_read_at = requested_at + seconds

    async def _read_configuration(self, requested_at: float) -> bool:
        watched = self._watched
        if watched is not None and watched.position.era == self._host.store.era:
            return await self._watch_configuration(watched, requested_at)
        found = await self._host.store.get(
            CONFIGURATION_KEY, CONFIGURATION_TIMEOUT_SECONDS
        )
        if isinstance(found, Err):
            return False
        if found.ok_value is not None:
            self._apply_configuration(found.ok_value, requested_at)
        return True

    async def _watch_configuration(
        self, watched: _WatchedConfiguration, requested_at: float
    ) -> bool:
        """Read what has changed since the last read.

        The first host waits for it, unless the last confirmation is overdue.
        """
        age = self._host.site.configuration_freshness.age(requested_at)
        may_wait = self._host.rank == 0 and age < 2 * READ_INTERVAL_SECONDS
        wait_seconds = WATCH_SECONDS if may_wait else MIN_WATCH_SECONDS
        result = await self._host.store.watch(
            CONFIGURATION_KEY,
            watched.position,
            wait_seconds,
            CONFIGURATION_TIMEOUT_SECONDS,
        )
        if isinstance(result, Err):
            self._failed_watches += 1
            if self._failed_watches >= MAX_FAILED_WATCHES:
                self._watched = None
            return False
        self._failed_watches = 0
        changes = result.ok_value
        if changes is None:
            self._watched = None
            return True
        items = [item for item in changes.items if item.key == CONFIGURATION_KEY]
        if items:
            self._apply_configuration(items[-1], requested_at)
            return True
        self._watched = replace(watched, position=changes.position)
        # The store responds without changes once the time is over, and not before.
        confirmed_at = requested_at
        if now() >= requested_at + wait_seconds:
            confirmed_at += wait_seconds
        if self._host.site.is_configuration_current(requested_at):
            freshness = Freshness(confirmed_at)
            self._host.site.confirm_configuration(watched.version, freshness)
        return True

    def _apply_configuration(self, item: StoredItem, requested_at: float) -> None:
        site = self._host.site
        self._failed_watches = 0
        is_current = site.is_configuration_current(requested_at)
        site.apply_configuration(item.value, requested_at if is_current else None)
        is_applied = site.configuration_value == item.value
        version = site.version if is_applied else UNKNOWN_VERSION
        self._watched = _WatchedConfiguration(item.position, version)

    async def _read_endpoints(self, requested_at: float) -> bool:
        host = self._host
        result = await host.store.list(
            ENDPOINT_PREFIX, CALL_TIMEOUT_SECONDS, self._oversized
        )
        oversized_count = len(self._oversized)
        host.metrics.endpoint_entries.values["oversized"] = oversized_count
        if isinstance(result, Err):
            return False
        snapshot = _endpoint_snapshot(result.ok_value)
        host.site.apply_endpoints(snapshot, requested_at, now())
        return True


class HostRegistration:
    """Registers this host's address in the store, and reads those of the others."""

    def __init__(self, host: Host) -> None:
        """Register ``host``."""
        self._host = host
        self._lease: Lease | None = None
        self._next_renewal_at = 0.0
        self._next_list_at = 0.0
        self._has_list = False
        self._oversized = OversizedItems()

    async def run(self) -> None:
        """Register, renew and list until cancelled."""
        while True:
            if self._is_renewal_due():
                await self._renew_or_register()
            await self._list_if_due()
            await asyncio.sleep(REGISTRATION_POLL_SECONDS)

    def _is_renewal_due(self) -> bool:
        """Return whether to renew, or to register anew in a restored store."""
        lease, host = self._lease, self._host
        is_registered = lease is not None and lease.era == host.store.era
        has_no_peers = not host.reachable_hosts
        return not is_registered or has_no_peers or now() >= self._next_renewal_at

    async def _renew_or_register(self) -> None:
        store = self._host.store
        self._next_renewal_at = now() + RENEWAL_INTERVAL_SECONDS
        if self._lease is not None:
            renewed = await store.renew(self._lease, CALL_TIMEOUT_SECONDS)
            if isinstance(renewed, Err) or renewed.ok_value:
                return
        self._lease = None
        granted = await store.grant(REGISTRATION_LEASE_SECONDS, CALL_TIMEOUT_SECONDS)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        key = f"{HOSTS_PREFIX}{self._host.name}"
        value = msgspec.msgpack.encode(_registered_host(self._host))
        write = Write(key, value, lease.lease_id)
        written = await store.change({}, (write,), CALL_TIMEOUT_SECONDS)
        if not isinstance(written, Err) and written.ok_value is not None:
            self._lease = lease
            log.info("host registered", extra={"era": lease.era})

    async def _list_if_due(self) -> None:
        has_no_peers = not self._host.reachable_hosts
        if now() < self._next_list_at or not (has_no_peers or not self._has_list):
            return
        listed = await self._host.store.list(
            HOSTS_PREFIX, CALL_TIMEOUT_SECONDS, self._oversized
        )
        if isinstance(listed, Err):
            return
        self._has_list = True
        self._next_list_at = now() + LIST_INTERVAL_SECONDS
        hosts_by_name, errors_by_name = decode_hosts(listed.ok_value)
        for name, error in errors_by_name.items():
            extra = {"host": name, "error": error}
            log.warning("host entry unreadable", extra=extra)
        for name, entry in hosts_by_name.items():
            if name != self._host.name:
                info = DaemonInfo(entry.address, entry.data_centre, entry.status)
                self._host.membership.add_listed(name, info, now())


def _registered_host(host: Host) -> RegisteredHost:
    settings = host.settings
    return RegisteredHost(
        settings.address,
        settings.data_centre,
        DaemonStatus.ALIVE,
        host.incarnation,
        build_name(),
        max(PeerProtocol),
    )


def _endpoint_snapshot(snapshot: Snapshot) -> EndpointSnapshot:
    entries = tuple(
        StoredEntry(
            item.key.removeprefix(ENDPOINT_PREFIX), item.value, item.position.revision
        )
        for item in snapshot.items
    )
    position = snapshot.position
    return EndpointSnapshot(position.revision, entries, position.era)
