"""Plans how many reclaimable and on-demand engines each data centre should have.

Reclaimable engines cost a fraction of the price of on-demand ones, but all of them in a
data centre may be reclaimed at once. So every data centre gets a few of them, and
on-demand engines replace reclaimable ones only where these are unavailable and too few
engines remain.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.site import ScalingBounds

__all__ = ["EngineCounts", "EngineOrder", "count_engines", "plan_service"]

# With two engines in a data centre, one can crash without the caches of the others
# having to take all of its prompts.
MIN_RECLAIMABLE_ENGINES = 2


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


def count_engines(endpoints: Collection[Endpoint]) -> dict[str, EngineCounts]:
    """Count the engines that are listed and not reclaimed, by data centre."""
    counts: dict[str, EngineCounts] = {}
    for endpoint in endpoints:
        if endpoint.is_reclaimed or not endpoint.is_listed:
            continue
        listed = endpoint.listed
        counted = counts.get(listed.data_centre, EngineCounts())
        counts[listed.data_centre] = EngineCounts(
            counted.reclaimable + listed.is_reclaimable,
            counted.on_demand + (not listed.is_reclaimable),
        )
    return counts


def plan_service(
    service: str,
    bounds: ScalingBounds,
    counts: Mapping[str, EngineCounts],
    needed: int,
    needed_with_on_demand: int = 0,
    unavailable: Collection[str] = (),
    *,
    is_idle: bool = False,
) -> list[EngineOrder]:
    """Return the orders that state the desired engines of every data centre.

    ``needed`` engines must remain after the loss of one data centre. On-demand engines
    are kept until reclaimable ones in their data centre accept requests, unless the
    site ``is_idle`` because no request has arrived since its first start. New on-demand
    engines replace reclaimable ones that the data centres in ``unavailable`` cannot
    provide, up to a total of ``needed_with_on_demand`` engines.
    """
    centres = sorted(
        bounds.price_by_data_centre, key=bounds.price_by_data_centre.__getitem__
    )
    per_centre = _reclaimable_per_data_centre(len(centres), bounds, needed)
    on_demand_needed = _on_demand_needed(
        per_centre, needed_with_on_demand, counts, unavailable
    )
    orders = []
    for centre in centres:
        current = counts.get(centre, EngineCounts())
        is_replaced = is_idle or current.reclaimable > 0
        kept = 0 if is_replaced else min(current.on_demand, bounds.max_engines - 1)
        reserved = current.reclaimable if centre in unavailable else per_centre
        available = max(0, bounds.max_engines - max(reserved, 1))
        on_demand = max(kept, min(available, on_demand_needed))
        on_demand_needed = max(0, on_demand_needed - on_demand)
        reclaimable = max(1, min(per_centre, bounds.max_engines - on_demand))
        orders.append(EngineOrder(service, centre, True, reclaimable))
        orders.append(EngineOrder(service, centre, False, on_demand))
    return orders


def _reclaimable_per_data_centre(
    centres: int, bounds: ScalingBounds, needed: int
) -> int:
    """Return the count per data centre that leaves ``needed`` if one is lost."""
    per_centre = max(MIN_RECLAIMABLE_ENGINES, ceil(needed / max(1, centres - 1)))
    return max(bounds.min_engines, min(bounds.max_engines, per_centre))


def _on_demand_needed(
    per_centre: int,
    needed_with_on_demand: int,
    counts: Mapping[str, EngineCounts],
    unavailable: Collection[str],
) -> int:
    """Return how many on-demand engines replace unavailable reclaimable ones."""
    present = sum(count.reclaimable for count in counts.values())
    unavailable_count = sum(
        max(0, per_centre - counts.get(centre, EngineCounts()).reclaimable)
        for centre in unavailable
    )
    return max(0, min(unavailable_count, needed_with_on_demand - present))
