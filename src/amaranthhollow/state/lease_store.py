"""Named leases in the key-value service, each held by one daemon at a time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err

from amaranthhollow.decisions.control import (
    LEASE_SECONDS,
    ORDER_TIMEOUT_SECONDS,
    HeldLease,
)
from amaranthhollow.platform.store import Lease, Write

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.platform.store import StoreClient

__all__ = ["NamedLease"]

KEY_PREFIX = "amaranthhollow/leases"


class NamedLease:
    """Acquires and renews one named lease for this daemon.

    ``held_lease`` is the lease while this daemon holds it, else None. After the store
    has returned from an older copy, the lease counts as lost, and is not acquired until
    every lease that the store can have granted before has expired, with its orders.
    """

    def __init__(
        self,
        store: StoreClient,
        name: str,
        holder: str,
        clock: Callable[[], float],
    ) -> None:
        """Prepare to acquire the lease ``name`` as ``holder``; makes no call."""
        self._store = store
        self._key = f"{KEY_PREFIX}/{name}"
        self._holder = holder
        self._clock = clock
        self._lease = Lease(0, 0.0)
        self._era = store.era
        self._acquires_at = 0.0
        self.held_lease: HeldLease | None = None

    async def acquire_or_renew(self) -> None:
        """Renew the lease if this daemon holds it, else try to acquire it."""
        self._check_era()
        if self.held_lease is not None and self._clock() >= self.held_lease.expires_at:
            self._mark_lost()
        if self.held_lease is None:
            if self._clock() >= self._acquires_at:
                await self._acquire()
        else:
            await self._renew(self.held_lease)

    def _check_era(self) -> None:
        if self._store.era == self._era:
            return
        self._era = self._store.era
        self._acquires_at = self._clock() + LEASE_SECONDS + ORDER_TIMEOUT_SECONDS
        self._mark_lost()

    async def _acquire(self) -> None:
        requested_at = self._clock()
        granted = await self._store.grant(LEASE_SECONDS)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        write = Write(self._key, self._holder.encode(), lease.lease_id)
        created = await self._store.change({self._key: None}, (write,))
        if isinstance(created, Err) or created.ok_value is None:
            # If the key was created but the response was lost, the key expires with
            # its lease.
            return
        self._lease = lease
        expires_at = requested_at + lease.ttl_seconds
        fencing_token = created.ok_value.fencing_token
        self.held_lease = HeldLease(fencing_token, self._clock(), expires_at)

    async def _renew(self, held_lease: HeldLease) -> None:
        requested_at = self._clock()
        renewed = await self._store.renew(self._lease)
        if isinstance(renewed, Err):
            return
        if not renewed.ok_value:
            self._mark_lost()
            return
        self.held_lease = replace(held_lease, expires_at=requested_at + LEASE_SECONDS)

    def _mark_lost(self) -> None:
        self.held_lease = None
