"""Decides when an order of engines is sent, sent again or held back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.decisions.planner import EngineCounts, EngineOrder

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
            order, next_at, next_increase_at
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
