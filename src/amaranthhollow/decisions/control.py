"""Decides who may give orders to engines, and which: under a lease, with fencing.

One daemon at a time holds a deployment's lease. It counts the lease from before it
asked for it, so by its own clock it stops before the service lets another daemon have
it. The fencing token of an order is the revision at which the lease's key was created;
it only rises. Orders state the wanted end, so a repeat is harmless.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["HeldLease", "Order", "ModelVersion", "may_send_order", "missing_orders"]

LEASE_SECONDS = 5
ORDER_TIMEOUT_SECONDS = 1.0


class ModelVersion(msgspec.Struct, frozen=True):
    """What an engine is to serve."""

    model: str
    version: str


class Order(msgspec.Struct, frozen=True):
    """An order to an engine, with the token of the lease under which it is given."""

    wanted: ModelVersion
    fencing_token: int


@dataclass(frozen=True)
class HeldLease:
    """A lease as its holder counts it; instants in seconds since the Unix epoch."""

    fencing_token: int
    acquired_at: float
    expires_at: float


def may_send_order(
    holding: HeldLease | None, now: float, *, checks_token: bool
) -> bool:
    """Tell whether an order may be sent now.

    The lease must outlast the order's timeout. Before engines that ignore the token,
    a new holder also waits until every order of the one before it has timed out.
    """
    if holding is None or now + ORDER_TIMEOUT_SECONDS >= holding.expires_at:
        return False
    return checks_token or now >= holding.acquired_at + ORDER_TIMEOUT_SECONDS


def missing_orders(
    wanted: ModelVersion,
    served_by_host: Mapping[str, ModelVersion | None],
    fencing_token: int,
) -> dict[str, Order]:
    """Return the orders to the engines that do not serve what is wanted, by host."""
    order = Order(wanted, fencing_token)
    return {host: order for host, found in served_by_host.items() if found != wanted}
