"""Contends for the lease of the duties and keeps it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from result import Err

from amaranthhollow.decisions.duties import ObservedHolder
from amaranthhollow.platform.names import OWN_PREFIX
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host

__all__ = ["HOLDER_KEY", "DutyLease"]

HOLDER_KEY = f"{OWN_PREFIX}duties/holder"
TICK_SECONDS = 0.1
# A third of the lease, so that one renewal may be lost.
RENEWALS_PER_LEASE = 3
CALL_TIMEOUT_SECONDS = 0.8

log = logbook.Logger("duties")


class DutyLease:
    """The lease as one host has it or not."""

    def __init__(self, host: Host) -> None:
        """Contend on behalf of ``host``."""
        self._host = host
        self._lease_id = 0
        self._renew_at = 0.0

    async def run(self) -> None:
        """Contend and renew until cancelled."""
        while True:
            await self._step()
            await asyncio.sleep(TICK_SECONDS)

    async def _step(self) -> None:
        host, instant = self._host, now()
        if host.is_draining:
            await self._release()
            return
        if host.duty.is_expired(instant):
            self._lose("overdue")
        if host.duty.held_lease is not None:
            if instant >= self._renew_at:
                await self._renew()
        elif host.duty.should_contend(host.rank, instant):
            await self._contend()

    async def _release(self) -> None:
        """End the lease, so that another host need not wait until it lapses."""
        host = self._host
        if host.duty.held_lease is None:
            return
        host.duty = host.duty.released(host.name)
        log.info("duties released")
        await host.store.end(self._lease_id, CALL_TIMEOUT_SECONDS)

    async def _renew(self) -> None:
        host, asked_at = self._host, now()
        interval = host.duty.lease_seconds / RENEWALS_PER_LEASE
        self._renew_at = asked_at + interval
        renewed = await host.store.renew(self._lease_id, CALL_TIMEOUT_SECONDS)
        if isinstance(renewed, Err):
            return
        if renewed.ok_value:
            host.duty = host.duty.renewed(asked_at)
        else:
            self._lose("lapsed")

    async def _contend(self) -> None:
        host, asked_at = self._host, now()
        granted = await host.store.grant(host.duty.lease_seconds, CALL_TIMEOUT_SECONDS)
        if isinstance(granted, Err):
            host.duty = host.duty.lost(now())
            return
        lease_id = granted.ok_value.lease_id
        write = Write(HOLDER_KEY, host.name.encode(), lease_id)
        created = await host.store.change(
            {HOLDER_KEY: 0}, (write,), CALL_TIMEOUT_SECONDS
        )
        if isinstance(created, Err) or created.ok_value is None:
            # Ending the lease also undoes a write whose answer was lost.
            await host.store.end(lease_id, CALL_TIMEOUT_SECONDS)
            host.duty = host.duty.lost(now())
            await self._look_up_holder()
            return
        self._lease_id = lease_id
        self._renew_at = asked_at + host.duty.lease_seconds / RENEWALS_PER_LEASE
        host.duty = host.duty.acquired(created.ok_value, asked_at)
        log.info("duties acquired", extra={"fencing_token": created.ok_value})

    async def _look_up_holder(self) -> None:
        """Learn who has the lease, so as not to contend while it lasts."""
        host = self._host
        found = await host.store.get(HOLDER_KEY, CALL_TIMEOUT_SECONDS)
        if isinstance(found, Err) or found.ok_value is None:
            return
        item = found.ok_value
        holder = item.value.decode("utf-8", "replace")
        if holder != host.name:
            lapses_at = now() + host.duty.lease_seconds
            seen = ObservedHolder(holder, item.created_at_revision, lapses_at)
            host.duty = host.duty.observe_holder(seen)

    def _lose(self, reason: str) -> None:
        log.warning("duties lost", extra={"reason": reason})
        self._host.duty = self._host.duty.lost(now())
