"""Decides when an order of engines is sent, sent again or held back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from amaranthhollow.decisions.planner import EngineCounts, EngineOrder
from amaranthhollow.decisions.scaling_state import OrderRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["OrderSchedule"]

# An accepted order without effect is sent again once the engines should have started.
REORDER_DELAY_SECONDS = 6.0
# A shortage of engines in a data centre lasts several seconds.
UNAVAILABLE_RETRY_SECONDS = 3.0

Target = tuple[str, str, bool]


@dataclass(frozen=True)
class _SentOrder:
    """An accepted order, and when orders for fewer and for more engines may follow."""

    order: EngineOrder
    accepted_at: float
    next_order_at: float
    next_increase_at: float


class OrderSchedule:
    """The orders that one holder of the duties has sent, by what they apply to."""

    def __init__(self) -> None:
        """Start without any order."""
        self._sent_by_target: dict[Target, _SentOrder] = {}
        self._refused_at_by_target: dict[Target, float] = {}

    def start_term(self) -> None:
        """Forget the accepted orders, since another host may have sent others."""
        self._sent_by_target.clear()

    def adopt(
        self, service: str, records: Iterable[OrderRecord], wall_offset: float
    ) -> None:
        """Take over the orders of the previous holder that are later than known ones.

        ``wall_offset`` is the agreed time less the time of this process.
        """
        for record in records:
            order = EngineOrder(
                service, record.data_centre, record.is_reclaimable, record.count
            )
            accepted_at = record.accepted_at - wall_offset
            refused_at = record.refused_at - wall_offset
            sent = self._sent_by_target.get(order.target)
            if record.accepted_at and (sent is None or accepted_at > sent.accepted_at):
                next_at = accepted_at + REORDER_DELAY_SECONDS
                self._sent_by_target[order.target] = _SentOrder(
                    order, accepted_at, next_at, next_at
                )
            known_refused_at = self._refused_at_by_target.get(order.target)
            if record.refused_at and refused_at > (known_refused_at or refused_at - 1):
                self._refused_at_by_target[order.target] = refused_at

    def records(self, service: str, wall_offset: float) -> tuple[OrderRecord, ...]:
        """Return the last order of each kind and data centre of a service."""
        targets = sorted(
            self._sent_by_target.keys() | self._refused_at_by_target.keys()
        )
        records = []
        for target in targets:
            if target[0] != service:
                continue
            sent = self._sent_by_target.get(target)
            refused_at = self._refused_at_by_target.get(target)
            records.append(
                OrderRecord(
                    data_centre=target[1],
                    is_reclaimable=target[2],
                    count=sent.order.count if sent else 0,
                    accepted_at=sent.accepted_at + wall_offset if sent else 0.0,
                    refused_at=refused_at + wall_offset if refused_at else 0.0,
                )
            )
        return tuple(records)

    def starting_engines(self, service: str, now: float) -> dict[str, EngineCounts]:
        """Return the counts of recent orders, whose engines may not be listed yet."""
        counts: dict[str, EngineCounts] = {}
        for (name, data_centre, is_reclaimable), sent in self._sent_by_target.items():
            is_recent = now < sent.accepted_at + REORDER_DELAY_SECONDS
            if name != service or not is_recent:
                continue
            other = counts.get(data_centre, EngineCounts())
            counts[data_centre] = (
                EngineCounts(sent.order.count, other.on_demand)
                if is_reclaimable
                else EngineCounts(other.reclaimable, sent.order.count)
            )
        return counts

    def is_due(self, order: EngineOrder, counts: EngineCounts, now: float) -> bool:
        """Return whether to send an order that is wanted at the moment.

        ``counts`` are the engines of its data centre. A decrease is taken back as soon
        as more engines are wanted again.
        """
        refused_at = self._refused_at_by_target.get(order.target)
        if refused_at is not None and now < refused_at + UNAVAILABLE_RETRY_SECONDS:
            return False
        sent = self._sent_by_target.get(order.target)
        if sent is None:
            return True
        is_increase = order.count > sent.order.count
        if now < (sent.next_increase_at if is_increase else sent.next_order_at):
            return False
        present = counts.reclaimable if order.is_reclaimable else counts.on_demand
        return order != sent.order or present != order.count

    def record_accepted(self, order: EngineOrder, now: float) -> None:
        """Record that the platform has accepted an order."""
        previous = self._sent_by_target.get(order.target)
        next_at = now + REORDER_DELAY_SECONDS
        is_decrease = previous is not None and order.count < previous.order.count
        next_increase_at = previous.next_increase_at if is_decrease else next_at
        self._sent_by_target[order.target] = _SentOrder(
            order, now, next_at, next_increase_at
        )
        self._refused_at_by_target.pop(order.target, None)

    def record_refused(self, order: EngineOrder, now: float) -> None:
        """Record that an order failed, or that the data centre has none available."""
        self._refused_at_by_target[order.target] = now

    def unavailable_data_centres(self, service: str, now: float) -> set[str]:
        """Return the data centres that were short of reclaimable engines lately."""
        return {
            data_centre
            for (name, data_centre, is_reclaimable), refused_at in (
                self._refused_at_by_target.items()
            )
            if name == service
            and is_reclaimable
            and now < refused_at + 2 * UNAVAILABLE_RETRY_SECONDS
        }
