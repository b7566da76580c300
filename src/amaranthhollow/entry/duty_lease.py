"""Elects the host that runs the singleton duties, by a lease in the key-value store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from result import Err

from amaranthhollow.decisions.duties import ObservedHolder
from amaranthhollow.platform.names import SYSTEM_KEY_PREFIX
from amaranthhollow.platform.store import Lease, Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.cloud import CloudClient

__all__ = ["DutyLease", "era_key", "holder_key"]

HOLDER_KEY = f"{SYSTEM_KEY_PREFIX}duties/holder"
POLL_INTERVAL_SECONDS = 0.1
MAX_STANDBY_POLL_INTERVAL_SECONDS = 0.25
# Leaves time for another renewal if one is lost.
RENEWALS_PER_LEASE = 3
CALL_TIMEOUT_SECONDS = 0.8

log = logbook.Logger("duties")


def era_key(key: str, era: int) -> str:
    """Return the name of an item in an era of the store.

    A host that does not know yet that the store was restored cannot change the items
    of the new era, even if one of them has the revision that it expects.
    """
    return f"{key}-{era}" if era else key


def holder_key(era: int) -> str:
    """Return the key of the item that names the holder of the duties."""
    return era_key(HOLDER_KEY, era)


class DutyLease:
    """Acquires, renews and releases the lease of the duties for one host."""

    def __init__(self, host: Host, cloud: CloudClient) -> None:
        """Contend for the lease on behalf of ``host``, whose duties use ``cloud``."""
        self._host = host
        self._cloud = cloud
        self._lease = Lease(0, 0.0)
        self._renew_at = 0.0

    async def run(self) -> None:
        """Contend and renew until cancelled."""
        while True:
            await self._update()
            await asyncio.sleep(self._poll_interval())

    def _poll_interval(self) -> float:
        """Return the seconds until the next update, which the next contention ends."""
        host = self._host
        if host.duty.held_lease is not None:
            return POLL_INTERVAL_SECONDS
        seconds = host.duty.contention_time(host.rank, host.spread_seconds) - now()
        return min(
            max(seconds, POLL_INTERVAL_SECONDS), MAX_STANDBY_POLL_INTERVAL_SECONDS
        )

    async def _update(self) -> None:
        host, instant = self._host, now()
        if host.is_draining:
            await self._release()
            return
        if host.duty.is_expired(instant):
            self._mark_lost("renewal overdue")
        if host.duty.held_lease is not None:
            if instant >= self._renew_at:
                await self._renew()
        elif host.duty.should_contend(host.rank, instant, host.spread_seconds):
            await self._contend()

    async def _release(self) -> None:
        """End the lease, so that another host need not wait until it expires.

        No call of this host may arrive after one of the next holder. One without a
        response may still be on its way, so the lease is then left to expire.
        """
        host = self._host
        if host.duty.held_lease is None:
            return
        await self._cloud.close()
        uncertain_at = self._cloud.uncertain_at
        if uncertain_at is not None and now() < uncertain_at + host.duty.lease_seconds:
            self._mark_lost("shutdown after a call without a response")
            return
        host.duty = host.duty.released(host.name)
        log.info("duties released")
        await host.store.end(self._lease, CALL_TIMEOUT_SECONDS)

    async def _renew(self) -> None:
        host, requested_at = self._host, now()
        interval = host.duty.lease_seconds / RENEWALS_PER_LEASE
        self._renew_at = requested_at + interval
        renewed = await host.store.renew(self._lease, CALL_TIMEOUT_SECONDS)
        if isinstance(renewed, Err):
            return
        if renewed.ok_value:
            host.duty = host.duty.renewed(requested_at)
        elif host.duty.held_lease is not None:
            self._mark_lost("expired")

    async def _contend(self) -> None:
        host = self._host
        if not await self._is_vacant():
            self._wait_for_others()
            return
        requested_at = now()
        granted = await host.store.grant(host.duty.lease_seconds, CALL_TIMEOUT_SECONDS)
        if isinstance(granted, Err):
            self._wait_for_others()
            return
        lease = granted.ok_value
        key = holder_key(lease.era)
        write = Write(key, host.name.encode(), lease.lease_id)
        created = await host.store.change({key: None}, (write,), CALL_TIMEOUT_SECONDS)
        if isinstance(created, Err) or created.ok_value is None:
            # Ending the lease also reverts a write whose response was lost.
            await host.store.end(lease, CALL_TIMEOUT_SECONDS)
            self._wait_for_others()
            await self._is_vacant()
            return
        self._lease = lease
        self._renew_at = requested_at + host.duty.lease_seconds / RENEWALS_PER_LEASE
        fencing_token = created.ok_value.fencing_token
        host.duty = host.duty.acquired(fencing_token, requested_at)
        log.info("duties acquired", extra={"fencing_token": fencing_token})

    def _wait_for_others(self) -> None:
        """Contend again after the hosts of lower ranks have had the time to do so."""
        host = self._host
        host.duty = host.duty.lost(now(), host.rank, host.spread_seconds)

    async def _is_vacant(self) -> bool:
        """Return whether nobody holds the lease; observe the holder if there is one.

        One read tells it, where a lost contention takes four calls.
        """
        host = self._host
        key = holder_key(host.store.era)
        found = await host.store.get(key, CALL_TIMEOUT_SECONDS)
        if isinstance(found, Err):
            return False
        item = found.ok_value
        if item is None:
            return True
        holder = item.value.decode("utf-8", "replace")
        if holder != host.name:
            expires_at = now() + host.duty.lease_seconds
            observed_holder = ObservedHolder(
                holder, item.created_at.fencing_token, expires_at
            )
            host.duty = host.duty.observe_holder(observed_holder)
        return False

    def _mark_lost(self, reason: str) -> None:
        log.warning("duties lost", extra={"reason": reason})
        self._host.duty = self._host.duty.lost(now())
