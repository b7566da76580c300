"""Plans how many engines of which kind each data centre is to have.

Reclaimable engines are a small part of the price of the others, but a data centre
loses all of them at once. So each data centre gets a few of them, and others stand
in only where the reclaimable ones are missing and too few are left.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.site import ScalingBounds

__all__ = ["EngineCounts", "EngineOrder", "count_engines", "plan_service"]


@dataclass(frozen=True)
class EngineOrder:
    """How many engines of one kind a service is to have in a data centre."""

    service: str
    data_centre: str
    is_reclaimable: bool
    count: int

    @property
    def subject(self) -> tuple[str, str, bool]:
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
) -> list[EngineOrder]:
    """Return the wanted state of every data centre.

    ``needed`` engines are to be left when one data centre is lost. Engines on
    demand stay until reclaimable ones take work in their place.
    """
    centres = sorted(
        bounds.price_by_data_centre, key=bounds.price_by_data_centre.__getitem__
    )
    wanted = _reclaimable_by_centre(centres, bounds, needed)
    missing = needed - sum(
        min(wanted[centre], _counts(counts, centre).reclaimable) for centre in centres
    )
    orders = []
    for centre in centres:
        here = _counts(counts, centre)
        room = bounds.max_engines - wanted[centre]
        is_replaced = here.reclaimable >= min(wanted[centre], 1)
        on_demand = 0 if is_replaced else here.on_demand
        if missing > 0:
            on_demand = max(on_demand, min(room, missing))
        on_demand = max(0, min(on_demand, room))
        missing -= on_demand
        orders.append(EngineOrder(service, centre, True, wanted[centre]))
        orders.append(EngineOrder(service, centre, False, on_demand))
    return orders


def _reclaimable_by_centre(
    centres: list[str], bounds: ScalingBounds, needed: int
) -> dict[str, int]:
    """Spread engines evenly so that ``needed`` are left without one data centre."""
    others = max(1, len(centres) - 1)
    each = -(-needed // others)
    count = max(bounds.min_engines, min(bounds.max_engines, each))
    return dict.fromkeys(centres, count)


def _counts(counts: Mapping[str, EngineCounts], centre: str) -> EngineCounts:
    return counts.get(centre, EngineCounts())
