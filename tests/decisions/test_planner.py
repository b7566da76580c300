"""The planner: engines by demand, and what stands in for reclaimed ones."""

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


def wanted(orders, *, is_reclaimable):
    return {
        order.data_centre: order.count
        for order in orders
        if order.is_reclaimable is is_reclaimable
    }


def test_engines_outlast_the_loss_of_one_data_centre(bounds):
    orders = plan_service("model", bounds, {}, needed=9)

    by_centre = wanted(orders, is_reclaimable=True)
    assert sum(by_centre.values()) - max(by_centre.values()) >= 9


def test_no_more_engines_than_the_bounds_allow(bounds):
    counts = dict.fromkeys(CENTRES, EngineCounts(0, 5))
    orders = plan_service(
        "model", bounds, counts, needed=99, needed_with_fallback=99, unavailable=CENTRES
    )

    for centre in CENTRES:
        total = sum(o.count for o in orders if o.data_centre == centre)
        assert total == bounds.max_engines


def test_engines_on_demand_stay_until_reclaimable_ones_take_work(bounds):
    before = plan_service("model", bounds, {"dc-1": EngineCounts(0, 2)}, needed=2)
    after = plan_service("model", bounds, {"dc-1": EngineCounts(2, 2)}, needed=2)

    assert wanted(before, is_reclaimable=False)["dc-1"] == 2
    assert wanted(after, is_reclaimable=False)["dc-1"] == 0


def test_an_idle_site_keeps_no_engines_on_demand(bounds):
    counts = {"dc-1": EngineCounts(0, 2)}
    orders = plan_service("model", bounds, counts, needed=9, is_idle=True)

    assert sum(wanted(orders, is_reclaimable=False).values()) == 0


def test_a_reclaim_with_none_to_be_had_orders_engines_on_demand(bounds):
    counts = dict.fromkeys(["dc-1", "dc-2", "dc-3"], EngineCounts(3, 0))
    orders = plan_service(
        "model",
        bounds,
        counts,
        needed=11,
        needed_with_fallback=11,
        unavailable=["dc-4"],
    )

    assert sum(wanted(orders, is_reclaimable=False).values()) == 2


def test_stand_ins_have_room_where_the_bounds_are_reached(bounds):
    """Every data centre has its most; three are reclaimed and none are to be had."""
    lost = ["dc-1", "dc-2", "dc-3"]
    counts = {"dc-4": EngineCounts(5, 0)}
    orders = plan_service(
        "model", bounds, counts, needed=12, needed_with_fallback=12, unavailable=lost
    )

    assert sum(wanted(orders, is_reclaimable=False).values()) == 7


def test_stand_ins_stay_until_reclaimable_engines_are_back(bounds):
    counts = dict.fromkeys(CENTRES, EngineCounts(0, 2))
    orders = plan_service("model", bounds, counts, needed=15)

    assert set(wanted(orders, is_reclaimable=False).values()) == {2}
    assert set(wanted(orders, is_reclaimable=True).values()) == {3}


def test_engines_that_only_start_are_not_stood_in_for(bounds):
    orders = plan_service("model", bounds, {}, needed=11)

    assert sum(wanted(orders, is_reclaimable=False).values()) == 0


def test_demand_rises_fast_and_falls_slowly():
    demand = DemandEstimate(1.0, 0.0)
    for tenth in range(1, 21):
        demand = demand.with_sample(4.0, tenth / 10)
    risen = demand.busy
    for tenth in range(21, 41):
        demand = demand.with_sample(1.0, tenth / 10)

    assert risen > 3.5
    assert demand.busy > 3.0


def test_what_is_provided_stands_until_traffic_shows_what_is_needed():
    provided = DemandEstimate.from_engines(engines=45, now=0.0)
    waited = provided.with_sample(0.0, 60.0)
    seen = waited.with_sample(2.0, 60.1)
    for second in range(61, 121):
        seen = seen.with_sample(2.0, float(second))

    assert waited.needed_engines == provided.needed_engines == 45
    assert seen.needed_engines <= 6


def test_what_is_provided_is_left_when_a_data_centre_is_lost():
    bounds = ScalingBounds(1, 23, 4.0, 0.15, CENTRES)
    needed = DemandEstimate.from_engines(engines=45, now=0.0).needed_engines
    by_centre = wanted(plan_service("model", bounds, {}, needed), is_reclaimable=True)

    assert sum(by_centre.values()) - max(by_centre.values()) >= 45


def test_a_backlog_counts_for_more_than_one_engine():
    assert busy_engines([EndpointLoad(1, 0), EndpointLoad(1, 500)]) == 1.0
    assert busy_engines([EndpointLoad(9, 50_000)]) == 2.5
