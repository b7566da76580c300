"""Planning of engines by demand, and on-demand replacements for reclaimed ones."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.demand import DemandEstimate, busy_engines
from amaranthhollow.decisions.planner import EngineCounts, plan_service
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


def test_on_demand_engines_stay_until_reclaimable_ones_serve(bounds):
    before = plan_service("model", bounds, {"dc-1": EngineCounts(0, 2)}, needed=2)
    after = plan_service("model", bounds, {"dc-1": EngineCounts(2, 2)}, needed=2)

    assert counts_by_data_centre(before, is_reclaimable=False)["dc-1"] == 2
    assert counts_by_data_centre(after, is_reclaimable=False)["dc-1"] == 0


def test_idle_site_keeps_no_on_demand_engines(bounds):
    counts = {"dc-1": EngineCounts(0, 2)}
    orders = plan_service("model", bounds, counts, needed=9, is_idle=True)

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 0


def test_unavailable_reclaimable_engines_are_replaced_on_demand(bounds):
    counts = dict.fromkeys(["dc-1", "dc-2", "dc-3"], EngineCounts(3, 0))
    orders = plan_service(
        "model",
        bounds,
        counts,
        needed=11,
        needed_with_on_demand=11,
        unavailable=["dc-4"],
    )

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 2


def test_on_demand_engines_fit_within_reached_bounds(bounds):
    """All data centres were at their maximum; three are reclaimed and unavailable."""
    lost = ["dc-1", "dc-2", "dc-3"]
    counts = {"dc-4": EngineCounts(5, 0)}
    orders = plan_service(
        "model", bounds, counts, needed=12, needed_with_on_demand=12, unavailable=lost
    )

    assert sum(counts_by_data_centre(orders, is_reclaimable=False).values()) == 7


def test_on_demand_engines_stay_until_reclaimable_ones_return(bounds):
    counts = dict.fromkeys(CENTRES, EngineCounts(0, 2))
    orders = plan_service("model", bounds, counts, needed=15)

    assert set(counts_by_data_centre(orders, is_reclaimable=False).values()) == {2}
    assert set(counts_by_data_centre(orders, is_reclaimable=True).values()) == {3}


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


def test_backlog_counts_as_more_than_one_busy_engine():
    assert busy_engines([EndpointLoad(1, 0), EndpointLoad(1, 500)]) == 1.0
    assert busy_engines([EndpointLoad(9, 50_000)]) == 2.5
