"""Reads the configuration and the endpoints from the store, and announces the host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.decisions.freshness import READ_SECONDS, read_is_due
from amaranthhollow.decisions.membership import DaemonInfo, DaemonStatus
from amaranthhollow.platform.names import (
    CONFIGURATION_KEY,
    ENDPOINT_PREFIX,
    OWN_PREFIX,
)
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now
from amaranthhollow.state.site_state import EndpointSnapshot, StoredEntry

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.store import Snapshot

__all__ = ["HostAnnouncement", "SiteSync"]

TICK_SECONDS = 0.05
# A tick and a read that is given up take half of this: the process was frozen.
FROZEN_SECONDS = 1.7
# A slow store answers in a quarter of a second; a read that takes longer than the
# interval between reads is given up for the next.
READ_TIMEOUT_SECONDS = 0.8
HOSTS_PREFIX = f"{OWN_PREFIX}hosts/"
ANNOUNCEMENT_SECONDS = 10.0
RENEW_SECONDS = 3.0
# The second read of the list finds hosts that started at the same moment.
LIST_AGAIN_SECONDS = 2.0

log = logbook.Logger("store")


class SiteSync:
    """Reads the store when no host has done so for a while."""

    def __init__(self, host: Host) -> None:
        """Read on behalf of ``host``."""
        self._host = host
        self._failures = 0
        self._next_read_at = 0.0

    async def run(self) -> None:
        """Read whenever it is due, until cancelled."""
        ticked_at = now()
        while True:
            instant = now()
            if instant - ticked_at > FROZEN_SECONDS:
                log.info("frozen", extra={"seconds": instant - ticked_at})
                self._host.site.woke(instant)
            ticked_at = instant
            self._host.site.tick(instant)
            if self._is_due():
                await self._read()
            await asyncio.sleep(TICK_SECONDS)

    def _is_due(self) -> bool:
        host, instant = self._host, now()
        if instant < self._next_read_at:
            return False
        site = host.site
        proofs = (site.configuration_proof, site.endpoints_proof)
        oldest = max(proofs, key=lambda proof: proof.age(instant))
        return read_is_due(oldest, host.rank, instant)

    async def _read(self) -> None:
        asked_at = now()
        self._next_read_at = asked_at + READ_SECONDS
        results = await asyncio.gather(
            self._read_configuration(asked_at), self._read_endpoints(asked_at)
        )
        succeeded = all(results)
        if succeeded and self._failures:
            log.info("store regained", extra={"failures": self._failures})
        if not succeeded and not self._failures:
            log.warning("store lost")
        self._failures = 0 if succeeded else self._failures + 1

    async def _read_configuration(self, asked_at: float) -> bool:
        host = self._host
        result = await host.store.get(CONFIGURATION_KEY, READ_TIMEOUT_SECONDS)
        if isinstance(result, Err):
            return False
        item = result.ok_value
        if item is not None:
            host.site.apply_configuration(item.value, asked_at)
        return True

    async def _read_endpoints(self, asked_at: float) -> bool:
        host = self._host
        result = await host.store.list(ENDPOINT_PREFIX, READ_TIMEOUT_SECONDS)
        if isinstance(result, Err):
            return False
        snapshot = _endpoint_snapshot(result.ok_value)
        host.site.apply_endpoints(snapshot, asked_at, now())
        return True


class HostAnnouncement:
    """Keeps this host's address in the store, and reads the others' from there."""

    def __init__(self, host: Host) -> None:
        """Announce ``host``."""
        self._host = host
        self._lease_id: int | None = None
        self._list_again_at = 0.0
        self._lists_left = 2

    async def run(self) -> None:
        """Announce, renew and list until cancelled."""
        while True:
            await self._keep()
            await self._list_if_due()
            is_alone = not self._host.reachable_hosts
            pause = RENEW_SECONDS if self._lease_id and not is_alone else 0.5
            await asyncio.sleep(pause)

    async def _keep(self) -> None:
        store = self._host.store
        if self._lease_id is not None:
            renewed = await store.renew(self._lease_id, READ_TIMEOUT_SECONDS)
            if isinstance(renewed, Err) or renewed.ok_value:
                return
        self._lease_id = None
        granted = await store.grant(ANNOUNCEMENT_SECONDS, READ_TIMEOUT_SECONDS)
        if isinstance(granted, Err):
            return
        lease_id = granted.ok_value.lease_id
        key = f"{HOSTS_PREFIX}{self._host.name}"
        write = Write(key, msgspec.msgpack.encode(_info(self._host)), lease_id)
        written = await store.change({}, (write,), READ_TIMEOUT_SECONDS)
        if not isinstance(written, Err) and written.ok_value is not None:
            self._lease_id = lease_id

    async def _list_if_due(self) -> None:
        is_alone = not self._host.reachable_hosts
        if now() < self._list_again_at or not (self._lists_left or is_alone):
            return
        listed = await self._host.store.list(HOSTS_PREFIX, READ_TIMEOUT_SECONDS)
        if isinstance(listed, Err):
            return
        self._lists_left = max(0, self._lists_left - 1)
        self._list_again_at = now() + LIST_AGAIN_SECONDS
        for item in listed.ok_value.items:
            self._learn(item.key.removeprefix(HOSTS_PREFIX), item.value)

    def _learn(self, name: str, value: bytes) -> None:
        try:
            info = msgspec.msgpack.decode(value, type=DaemonInfo)
        except msgspec.DecodeError as error:
            extra = {"host": name, "error": str(error)}
            log.warning("host entry unreadable", extra=extra)
            return
        if name != self._host.name:
            self._host.membership.add_listed(name, info, now())


def _info(host: Host) -> DaemonInfo:
    settings = host.settings
    return DaemonInfo(settings.address, settings.data_centre, DaemonStatus.ALIVE)


def _endpoint_snapshot(snapshot: Snapshot) -> EndpointSnapshot:
    entries = tuple(
        StoredEntry(item.key.removeprefix(ENDPOINT_PREFIX), item.value, item.revision)
        for item in snapshot.items
    )
    return EndpointSnapshot(snapshot.revision, entries)
