"""Plans how many engines of which kind each data centre is to have.

Reclaimable engines are a small part of the price of the others, but a data centre
loses all of them at once. So each data centre gets a few of them, and others stand
in only where the reclaimable ones are missing and too few are left.
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

# With two engines in a data centre, one may crash without the others' caches
# having to take all of its prompts.
MIN_ENGINES = 2


@dataclass(frozen=True)
class EngineOrder:
    """How many engines of one kind a service is to have in a data centre."""

    service: str
    data_centre: str
    is_reclaimable: bool
    count: int

    @property
    def target(self) -> tuple[str, str, bool]:
        """What the order decides; a newer order of it replaces an older one."""
        return (self.service, self.data_centre, self.is_reclaimable)


@dataclass(frozen=True)
class EngineCounts:
    """Engines of one service in a data centre that take work, by kind."""

    reclaimable: int = 0
    on_demand: int = 0


def count_engines(endpoints: Collection[Endpoint]) -> dict[str, EngineCounts]:
    """Count the staying engines by data centre."""
    counts: dict[str, EngineCounts] = {}
    for endpoint in endpoints:
        if endpoint.is_reclaimed or not endpoint.is_listed:
            continue
        listed = endpoint.listed
        known = counts.get(listed.data_centre, EngineCounts())
        counts[listed.data_centre] = EngineCounts(
            known.reclaimable + listed.is_reclaimable,
            known.on_demand + (not listed.is_reclaimable),
        )
    return counts


def plan_service(
    service: str,
    bounds: ScalingBounds,
    counts: Mapping[str, EngineCounts],
    needed: int,
    needed_with_fallback: int = 0,
    unavailable: Collection[str] = (),
    *,
    is_idle: bool = False,
) -> list[EngineOrder]:
    """Return the wanted state of every data centre.

    ``needed`` engines are to be left when one data centre is lost. Engines on demand
    stay until reclaimable ones take work in their place, unless the site ``is_idle``
    because no request has come since its first start. They are ordered for what
    the data centres in ``unavailable`` cannot give, up to ``needed_with_fallback``
    engines in all.
    """
    centres = sorted(
        bounds.price_by_data_centre, key=bounds.price_by_data_centre.__getitem__
    )
    each = _reclaimable_in_each(len(centres), bounds, needed)
    missing = _missing(each, needed_with_fallback, counts, unavailable)
    orders = []
    for centre in centres:
        here = counts.get(centre, EngineCounts())
        is_replaced = is_idle or here.reclaimable > 0
        kept = 0 if is_replaced else min(here.on_demand, bounds.max_engines - 1)
        taken = here.reclaimable if centre in unavailable else each
        room = max(0, bounds.max_engines - max(taken, 1))
        on_demand = max(kept, min(room, missing))
        missing = max(0, missing - on_demand)
        reclaimable = max(1, min(each, bounds.max_engines - on_demand))
        orders.append(EngineOrder(service, centre, True, reclaimable))
        orders.append(EngineOrder(service, centre, False, on_demand))
    return orders


def _reclaimable_in_each(centres: int, bounds: ScalingBounds, needed: int) -> int:
    """Return how many each data centre gets, so that ``needed`` outlast one loss."""
    each = max(MIN_ENGINES, ceil(needed / max(1, centres - 1)))
    return max(bounds.min_engines, min(bounds.max_engines, each))


def _missing(
    each: int,
    needed_with_fallback: int,
    counts: Mapping[str, EngineCounts],
    unavailable: Collection[str],
) -> int:
    """Return how many engines on demand stand in for what cannot be had."""
    present = sum(count.reclaimable for count in counts.values())
    refused = sum(
        max(0, each - counts.get(centre, EngineCounts()).reclaimable)
        for centre in unavailable
    )
    return max(0, min(refused, needed_with_fallback - present))
