"""Plans how many reclaimable and on-demand engines each data centre should have.

Reclaimable engines cost a fraction of the price of on-demand ones, but all of them in a
data centre may be reclaimed at once, and none may be available for a while. So enough
of them remain after the loss of any data centre, at the least price. While some are
unavailable, on-demand engines are started for the next loss before it comes, since they
take longer to start than a reclaim takes from its notice.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.site import ScalingBounds

__all__ = [
    "EngineCounts",
    "EngineOrder",
    "cheapest_counts",
    "count_engines",
    "larger_counts",
    "plan_service",
]


@dataclass(frozen=True)
class EngineOrder:
    """How many engines of one kind a service should have in a data centre."""

    service: str
    data_centre: str
    is_reclaimable: bool
    count: int

    @property
    def target(self) -> tuple[str, str, bool]:
        """What the order applies to; a newer order for it replaces an older one."""
        return (self.service, self.data_centre, self.is_reclaimable)


@dataclass(frozen=True)
class EngineCounts:
    """The engines of a service in a data centre that accept requests, by kind."""

    reclaimable: int = 0
    on_demand: int = 0


NO_ENGINES = EngineCounts()


def count_engines(endpoints: Collection[Endpoint]) -> dict[str, EngineCounts]:
    """Count the engines that are listed and not reclaimed, by data centre."""
    counts: dict[str, EngineCounts] = {}
    for endpoint in endpoints:
        if endpoint.is_reclaimed or not endpoint.is_listed:
            continue
        listed = endpoint.listed
        counted = counts.get(listed.data_centre, NO_ENGINES)
        counts[listed.data_centre] = EngineCounts(
            counted.reclaimable + listed.is_reclaimable,
            counted.on_demand + (not listed.is_reclaimable),
        )
    return counts


def larger_counts(
    first: Mapping[str, EngineCounts], second: Mapping[str, EngineCounts]
) -> dict[str, EngineCounts]:
    """Return the larger of two counts for each data centre and kind of engines."""
    return {
        centre: EngineCounts(
            max(a.reclaimable, b.reclaimable), max(a.on_demand, b.on_demand)
        )
        for centre in first.keys() | second.keys()
        for a, b in [(first.get(centre, NO_ENGINES), second.get(centre, NO_ENGINES))]
    }


def plan_service(
    service: str,
    bounds: ScalingBounds,
    counts: Mapping[str, EngineCounts],
    needed: int,
    needed_with_on_demand: int = 0,
    unavailable: Collection[str] = (),
    *,
    is_idle: bool = False,
    floors: Mapping[str, EngineCounts] | None = None,
) -> list[EngineOrder]:
    """Return the orders that state the desired engines of every data centre.

    ``needed`` reclaimable engines should remain after the loss of one data centre. The
    data centres in ``unavailable`` cannot provide more now; those that can then get
    more, and on-demand engines are ordered so that ``needed_with_on_demand`` engines
    remain after the next loss. On-demand engines that are there already are kept until
    then as well, unless the site ``is_idle`` because no request has arrived since its
    first start. No order goes below ``floors``, which a holder sets that has not
    observed the demand for long enough to take engines away.
    """
    reclaimable = _reclaimable_counts(bounds, needed, unavailable)
    on_demand = dict.fromkeys(bounds.price_by_data_centre, 0)
    if not is_idle:
        required = _required_on_demand(counts, needed_with_on_demand, unavailable)
        on_demand = _place_on_demand(bounds, counts, reclaimable, required, unavailable)
    orders = []
    for centre in _by_price(bounds):
        floor = (floors or {}).get(centre, NO_ENGINES)
        kept_on_demand = max(on_demand[centre], floor.on_demand)
        limit = max(1, bounds.max_engines - kept_on_demand)
        count = min(max(reclaimable[centre], floor.reclaimable), limit)
        orders.append(EngineOrder(service, centre, True, count))
        orders.append(EngineOrder(service, centre, False, kept_on_demand))
    return orders


def cheapest_counts(
    price_by_data_centre: Mapping[str, float],
    needed: int,
    min_count: int,
    max_count: int,
) -> dict[str, int]:
    """Return the cheapest engine counts of which ``needed`` survive any loss.

    The loss is that of one data centre, if there are several. Example: three engines
    are needed, and the last of three data centres is the dearest::

        >>> cheapest_counts({"a": 0.8, "b": 0.9, "c": 1.2}, 3, 1, 5)
        {'a': 2, 'b': 2, 'c': 1}
    """
    prices = price_by_data_centre
    feasible_plans = []
    for largest in range(min_count, max_count + 1):
        total = needed + (largest if len(prices) > 1 else 0)
        plan = _fill_cheapest(prices, total, min_count, largest)
        if _surviving(plan) >= needed:
            feasible_plans.append(plan)
    if not feasible_plans:
        return dict.fromkeys(prices, max_count)
    return min(
        feasible_plans, key=lambda plan: sum(prices[c] * n for c, n in plan.items())
    )


def _fill_cheapest(
    price_by_data_centre: Mapping[str, float], total: int, smallest: int, largest: int
) -> dict[str, int]:
    """Distribute engines, from ``smallest`` to ``largest`` to each data centre."""
    counts = dict.fromkeys(price_by_data_centre, smallest)
    remaining = total - sum(counts.values())
    for centre in sorted(price_by_data_centre, key=price_by_data_centre.__getitem__):
        added = max(0, min(largest - smallest, remaining))
        counts[centre] += added
        remaining -= added
    return counts


def _surviving(counts: Mapping[str, int]) -> int:
    """Return how many engines remain after the worst loss of one data centre."""
    lost = max(counts.values(), default=0) if len(counts) > 1 else 0
    return sum(counts.values()) - lost


def _by_price(bounds: ScalingBounds) -> list[str]:
    prices = bounds.price_by_data_centre
    return sorted(prices, key=prices.__getitem__)


def _reclaimable_counts(
    bounds: ScalingBounds, needed: int, unavailable: Collection[str]
) -> dict[str, int]:
    """Return the plan over all data centres, with more where they are available."""
    prices = bounds.price_by_data_centre
    min_count = max(1, bounds.min_engines)
    plan = cheapest_counts(prices, needed, min_count, bounds.max_engines)
    available = {c: price for c, price in prices.items() if c not in unavailable}
    if not unavailable or not available:
        return plan
    more = cheapest_counts(available, needed, min_count, bounds.max_engines)
    return {centre: max(count, more.get(centre, 0)) for centre, count in plan.items()}


def _required_on_demand(
    counts: Mapping[str, EngineCounts], needed: int, unavailable: Collection[str]
) -> int:
    """Return how many on-demand engines should run.

    Without a shortage, reclaimable engines that are missing are about to start, so no
    more on-demand engines are required than there are.
    """
    reclaimable = [count.reclaimable for count in counts.values()]
    surviving = sum(reclaimable) - max(reclaimable, default=0)
    required = max(0, needed - surviving)
    if unavailable:
        return required
    return min(required, sum(count.on_demand for count in counts.values()))


def _place_on_demand(
    bounds: ScalingBounds,
    counts: Mapping[str, EngineCounts],
    reclaimable: Mapping[str, int],
    required: int,
    unavailable: Collection[str],
) -> dict[str, int]:
    """Return the on-demand count of each data centre.

    Those that run already are kept first, since new ones take time to start.
    """
    placed = {}
    for centre in _by_price(bounds):
        present = counts.get(centre, NO_ENGINES).on_demand
        placed[centre] = min(present, bounds.max_engines - 1, required)
        required -= placed[centre]
    for centre in _by_price(bounds):
        current = counts.get(centre, NO_ENGINES)
        is_short = centre in unavailable
        reserved = current.reclaimable if is_short else reclaimable[centre]
        available = bounds.max_engines - max(1, reserved) - placed[centre]
        added = max(0, min(available, required))
        placed[centre] += added
        required -= added
    return placed
