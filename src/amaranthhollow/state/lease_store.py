"""Named leases in the key-value service, each held by one daemon at a time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from result import Err

from amaranthhollow.decisions.control import LEASE_SECONDS, HeldLease
from amaranthhollow.platform.store import Write

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.platform.store import StoreClient

__all__ = ["NamedLease"]

KEY_PREFIX = "amaranthhollow/leases"


class NamedLease:
    """Acquires and renews one named lease for this daemon.

    ``held_lease`` is the lease while this daemon holds it, else None.
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
        self._lease_id = 0
        self.held_lease: HeldLease | None = None

    async def acquire_or_renew(self) -> None:
        """Renew the lease if this daemon holds it, else try to acquire it."""
        if self.held_lease is not None and self._clock() >= self.held_lease.expires_at:
            self._mark_lost()
        if self.held_lease is None:
            await self._acquire()
        else:
            await self._renew(self.held_lease)

    async def _acquire(self) -> None:
        requested_at = self._clock()
        granted = await self._store.grant(LEASE_SECONDS)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        write = Write(self._key, self._holder.encode(), lease.lease_id)
        created = await self._store.change({self._key: 0}, (write,))
        if isinstance(created, Err) or created.ok_value is None:
            # If the key was created but the response was lost, the key expires with
            # its lease.
            return
        self._lease_id = lease.lease_id
        expires_at = requested_at + lease.ttl_seconds
        self.held_lease = HeldLease(created.ok_value, self._clock(), expires_at)

    async def _renew(self, held_lease: HeldLease) -> None:
        requested_at = self._clock()
        renewed = await self._store.renew(self._lease_id)
        if isinstance(renewed, Err):
            return
        if not renewed.ok_value:
            self._mark_lost()
            return
        self.held_lease = replace(held_lease, expires_at=requested_at + LEASE_SECONDS)

    def _mark_lost(self) -> None:
        self.held_lease = None
