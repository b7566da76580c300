"""Holds a named lease in the key-value service for one daemon at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err

from amaranthhollow.decisions.control import LEASE_SECONDS, Holding

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.state.key_value import KeyValueClient, Lease

__all__ = ["NamedLease"]

PREFIX = "amaranthhollow/leases"


class NamedLease:
    """One lease, as this daemon holds it or not."""

    def __init__(
        self,
        key_value: KeyValueClient,
        name: str,
        holder: str,
        clock: Callable[[], float],
    ) -> None:
        """Contend for the lease ``name`` as ``holder``; nothing is asked yet."""
        self._key_value = key_value
        self._key = f"{PREFIX}/{name}"
        self._holder = holder
        self._clock = clock
        self._lease: Lease | None = None
        self.holding: Holding | None = None

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
        granted = await self._key_value.grant_lease(LEASE_SECONDS, asked_at)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        value = self._holder.encode()
        created = await self._key_value.put_if(self._key, value, 0, lease)
        if isinstance(created, Err) or created.ok_value is None:
            # If the answer was lost, the key lapses with its lease.
            return
        self._lease = lease
        self.holding = Holding(created.ok_value, self._clock(), lease.expires_at)

    async def _renew(self, holding: Holding) -> None:
        renewed = await self._key_value.renew_lease(self._lease, self._clock())
        if isinstance(renewed, Err):
            return
        if renewed.ok_value is None:
            self._lose()
            return
        self._lease = renewed.ok_value
        self.holding = Holding(
            holding.fencing_token, holding.acquired_at, renewed.ok_value.expires_at
        )

    def _lose(self) -> None:
        self._lease = self.holding = None
