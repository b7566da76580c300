"""Holds a named lease in the key-value service for one daemon at a time."""

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

PREFIX = "amaranthhollow/leases"


class NamedLease:
    """One lease, as this daemon holds it or not."""

    def __init__(
        self,
        store: StoreClient,
        name: str,
        holder: str,
        clock: Callable[[], float],
    ) -> None:
        """Contend for the lease ``name`` as ``holder``; nothing is asked yet."""
        self._store = store
        self._key = f"{PREFIX}/{name}"
        self._holder = holder
        self._clock = clock
        self._lease_id = 0
        self.holding: HeldLease | None = None

    async def keep(self) -> None:
        """Renew the lease if it is held, else try to acquire it."""
        if self.holding is not None and self._clock() >= self.holding.expires_at:
            self._lose()
        if self.holding is None:
            await self._acquire()
        else:
            await self._renew(self.holding)

    async def _acquire(self) -> None:
        asked_at = self._clock()
        granted = await self._store.grant(LEASE_SECONDS)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        write = Write(self._key, self._holder.encode(), lease.lease_id)
        created = await self._store.change({self._key: 0}, (write,))
        if isinstance(created, Err) or created.ok_value is None:
            # If the answer was lost, the key lapses with its lease.
            return
        self._lease_id = lease.lease_id
        expires_at = asked_at + lease.ttl_seconds
        self.holding = HeldLease(created.ok_value, self._clock(), expires_at)

    async def _renew(self, holding: HeldLease) -> None:
        asked_at = self._clock()
        renewed = await self._store.renew(self._lease_id)
        if isinstance(renewed, Err):
            return
        if not renewed.ok_value:
            self._lose()
            return
        self.holding = replace(holding, expires_at=asked_at + LEASE_SECONDS)

    def _lose(self) -> None:
        self.holding = None
