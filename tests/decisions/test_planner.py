"""Planning of engines by demand, and on-demand replacements for reclaimed ones."""

from __future__ import annotations

from itertools import product

import pytest

from amaranthhollow.decisions.demand import DemandEstimate
from amaranthhollow.decisions.planner import (
    EngineCounts,
    cheapest_counts,
    plan_service,
)
from amaranthhollow.decisions.site import ScalingBounds

CENTRES = {"dc-1": 1.0, "dc-2": 0.8, "dc-3": 1.25, "dc-4": 0.9}


@pytest.fixture
def bounds() -> ScalingBounds:
    return ScalingBounds(1, 5, 4.0, 0.2, CENTRES)


def counts_by_data_centre(orders, *, is_reclaimable):
    return {
        order.data_centre: order.count
        for order in orders
        if order.is_reclaimable is is_reclaimable
    }


def test_needed_engines_remain_after_loss_of_one_data_centre(bounds):
    orders = plan_service("model", bounds, {}, needed=9)

    by_centre = counts_by_data_centre(orders, is_reclaimable=True)
    assert sum(by_centre.values()) - max(by_centre.values()) >= 9


def test_orders_stay_within_the_bounds(bounds):
    counts = dict.fromkeys(CENTRES, EngineCounts(0, 5))
    orders = plan_service(
        "model",
        bounds,
        counts,
        needed=99,
        needed_with_on_demand=99,
        unavailable=CENTRES,
    )

    for centre in CENTRES:
        total = sum(o.count for o in orders if o.data_centre == centre)
        assert total == bounds.max_engines


def test_on_demand_engines_stay_until_reclaimable_ones_survive_a_loss(bounds):
    before = {"dc-1": EngineCounts(0, 2)}
    one_centre = {"dc-1": EngineCounts(2, 2)}
    two_centres = {**one_centre, "dc-2": EngineCounts(2, 0)}
    on_demand = [
        counts_by_data_centre(
            plan_service("model", bounds, counts, needed=2, needed_with_on_demand=2),
            is_reclaimable=False,
        )["dc-1"]
        for counts in (before, one_centre, two_centres)
    ]

    assert on_demand == [2, 2, 0]


def test_idle_site_keeps_no_on_demand_engines(bounds):
    counts = {"dc-1": EngineCounts(0, 2)}
    orders = plan_service(
        "model", bounds, counts, needed=9, needed_with_on_demand=9, is_idle=True
    )

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 0


def test_on_demand_engines_replace_those_that_the_next_loss_takes(bounds):
    """One data centre has none available; nine engines are there, three a centre."""
    counts = dict.fromkeys(["dc-1", "dc-2", "dc-3"], EngineCounts(3, 0))
    orders = plan_service(
        "model",
        bounds,
        counts,
        needed=11,
        needed_with_on_demand=8,
        unavailable=["dc-4"],
    )

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 2


def test_reclaims_of_all_data_centres_in_turn_leave_enough_engines(bounds):
    """Each is announced only after on-demand engines of the last plan have started.

    No reclaimable engine is available again meanwhile.
    """
    needed = 4
    orders = plan_service("model", bounds, {}, needed, needed)
    counts = {
        centre: EngineCounts(count, 0)
        for centre, count in counts_by_data_centre(orders, is_reclaimable=True).items()
    }
    for number, lost in enumerate(["dc-4", "dc-3", "dc-2", "dc-1"], 1):
        counts[lost] = EngineCounts(0, counts[lost].on_demand)
        assert sum(c.reclaimable + c.on_demand for c in counts.values()) >= needed
        unavailable = ["dc-4", "dc-3", "dc-2", "dc-1"][:number]
        orders = plan_service("model", bounds, counts, needed, needed, unavailable)
        on_demand = counts_by_data_centre(orders, is_reclaimable=False)
        counts = {
            centre: EngineCounts(counts[centre].reclaimable, on_demand[centre])
            for centre in CENTRES
        }

    assert sum(c.on_demand for c in counts.values()) == needed


def test_data_centres_that_can_provide_engines_replace_the_others(bounds):
    counts = dict.fromkeys(CENTRES, EngineCounts(2, 0))
    orders = plan_service("model", bounds, counts, 6, unavailable=["dc-2"])
    others = counts_by_data_centre(orders, is_reclaimable=True)
    del others["dc-2"]

    assert sum(others.values()) - max(others.values()) >= 6


def test_on_demand_engines_fit_within_reached_bounds(bounds):
    """All data centres were at their maximum; three are reclaimed and unavailable."""
    lost = ["dc-1", "dc-2", "dc-3"]
    counts = {"dc-4": EngineCounts(5, 0)}
    orders = plan_service(
        "model", bounds, counts, needed=12, needed_with_on_demand=12, unavailable=lost
    )

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 12
    for centre in lost:
        total = sum(o.count for o in orders if o.data_centre == centre)
        assert total <= bounds.max_engines


def test_on_demand_engines_stay_until_reclaimable_ones_return(bounds):
    counts = dict.fromkeys(CENTRES, EngineCounts(0, 2))
    orders = plan_service("model", bounds, counts, 15, 15)

    assert set(counts_by_data_centre(orders, is_reclaimable=False).values()) == {2}
    assert set(counts_by_data_centre(orders, is_reclaimable=True).values()) == {3}


@pytest.mark.parametrize(
    "prices",
    [
        CENTRES,
        {"a": 1.0},
        {"a": 1.0, "b": 3.0},
        {"a": 0.5, "b": 0.5, "c": 0.5, "d": 2.0, "e": 2.0},
    ],
)
@pytest.mark.parametrize("needed", [0, 1, 2, 3, 5, 7])
def test_reclaimable_mix_is_the_cheapest_of_all(prices, needed):
    max_count = 4
    found = cheapest_counts(prices, needed, 1, max_count)

    def cost(counts):
        return sum(price * n for price, n in zip(prices.values(), counts, strict=True))

    def survives(counts):
        lost = max(counts) if len(counts) > 1 else 0
        return sum(counts) - lost >= needed

    all_mixes = product(range(1, max_count + 1), repeat=len(prices))
    feasible = [cost(counts) for counts in all_mixes if survives(counts)]
    expected = min(feasible, default=cost([max_count] * len(prices)))
    assert cost(found.values()) == pytest.approx(expected)


def test_starting_engines_are_not_replaced_on_demand(bounds):
    orders = plan_service("model", bounds, {}, needed=11)

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 0


def test_demand_rises_fast_and_falls_slowly():
    demand = DemandEstimate(1.0, 0.0)
    for tenth in range(1, 21):
        demand = demand.with_sample(4.0, tenth / 10)
    peak = demand.busy
    for tenth in range(21, 41):
        demand = demand.with_sample(1.0, tenth / 10)

    assert peak > 3.5
    assert demand.busy > 3.0


def test_initial_estimate_is_kept_until_traffic_is_observed():
    initial = DemandEstimate.from_engines(engines=45, now=0.0)
    without_traffic = initial.with_sample(0.0, 60.0)
    with_traffic = without_traffic.with_sample(2.0, 60.1)
    for second in range(61, 121):
        with_traffic = with_traffic.with_sample(2.0, float(second))

    assert without_traffic.needed_engines == initial.needed_engines == 45
    assert with_traffic.needed_engines <= 6


def test_initial_engines_remain_after_loss_of_one_data_centre():
    bounds = ScalingBounds(1, 23, 4.0, 0.15, CENTRES)
    needed = DemandEstimate.from_engines(engines=45, now=0.0).needed_engines
    by_centre = counts_by_data_centre(
        plan_service("model", bounds, {}, needed), is_reclaimable=True
    )

    assert sum(by_centre.values()) - max(by_centre.values()) >= 45
