"""Decides which orders a daemon may send to engines, by lease and fencing token.

One daemon at a time holds a deployment's lease. It counts the lease from before it
requested it, so by its own clock it stops before the key-value service grants the lease
to another daemon. The fencing token of an order is the position of the store at which
the lease's key was created, which only increases. Orders state the desired version, so
they are idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "LEASE_SECONDS",
    "ORDER_TIMEOUT_SECONDS",
    "HeldLease",
    "ModelVersion",
    "Order",
    "may_send_order",
    "missing_orders",
]

LEASE_SECONDS = 5
ORDER_TIMEOUT_SECONDS = 1.0


class ModelVersion(msgspec.Struct, frozen=True):
    """The model and version that an engine serves or should serve."""

    model: str
    version: str


class Order(msgspec.Struct, frozen=True):
    """An order to an engine, with the fencing token of the sender's lease."""

    wanted: ModelVersion
    fencing_token: int


@dataclass(frozen=True)
class HeldLease:
    """A lease as counted by its holder; times are in seconds since the Unix epoch."""

    fencing_token: int
    acquired_at: float
    expires_at: float


def may_send_order(lease: HeldLease | None, now: float, *, checks_token: bool) -> bool:
    """Return whether an order may be sent now.

    The lease must outlast the order's timeout. With engines that do not check the
    token, a new holder also waits until all orders of the previous one timed out.
    """
    if lease is None or now + ORDER_TIMEOUT_SECONDS >= lease.expires_at:
        return False
    return checks_token or now >= lease.acquired_at + ORDER_TIMEOUT_SECONDS


def missing_orders(
    wanted: ModelVersion,
    served_by_host: Mapping[str, ModelVersion | None],
    fencing_token: int,
) -> dict[str, Order]:
    """Return the orders to engines that do not serve the wanted version, by host."""
    order = Order(wanted, fencing_token)
    return {host: order for host, served in served_by_host.items() if served != wanted}
