"""The demand for engines before and after the first traffic."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.demand import ServiceDemand

SAMPLE_SECONDS = 0.1


def sample(demand, seconds, engines, *, start=0.0, busy=0.0):
    """Return the demand after samples for ``seconds`` from ``start`` on."""
    for step in range(round(seconds / SAMPLE_SECONDS)):
        demand = demand.with_sample(engines, busy, start + step * SAMPLE_SECONDS)
    return demand


def sample_listing(pause, step, engines):
    """Return the demand at the end of a listing, and all estimates on the way."""
    demand, estimates, at = ServiceDemand(), set(), 0.0
    for listed in range(step, engines + step, step):
        demand = sample(demand, pause, min(listed, engines), start=at)
        at += pause
        if demand.estimate is not None:
            estimates.add(demand.estimate.needed_engines)
    return sample(demand, 4.0, engines, start=at), estimates


# Of 78 engines that were listed over four seconds, 26 counted: the others were given
# back before the first request came.
@pytest.mark.parametrize(
    ("pause", "step", "engines"), [(0.6, 13, 78), (1.2, 5, 45), (1.0, 1, 6)]
)
def test_engines_listed_one_after_another_all_count(pause, step, engines):
    demand, estimates = sample_listing(pause, step, engines)

    assert demand.estimate.needed_engines == engines
    assert estimates <= {engines}


def test_traffic_ends_the_wait_for_further_engines():
    demand = sample(ServiceDemand(), 0.5, 13)
    demand = demand.with_sample(13, 4.0, 0.5)

    assert demand.estimate.has_traffic
    assert demand.estimate.needed_engines >= 13


def test_engines_listed_after_the_first_traffic_count_until_all_are_listed():
    demand = sample(ServiceDemand(), 0.5, 13, busy=1.0)
    demand = sample(demand, 0.5, 40, start=0.5, busy=1.0)

    assert demand.estimate.needed_engines >= 36


def test_engines_ordered_later_do_not_count_as_provided():
    demand = sample(ServiceDemand(), 4.0, 10)
    demand = sample(demand, 60.0, 10, start=4.0, busy=1.0)
    before = demand.estimate.needed_engines
    demand = sample(demand, 2.0, 40, start=64.0, busy=1.0)

    assert demand.estimate.needed_engines <= before


def test_service_without_engines_has_no_estimate():
    assert sample(ServiceDemand(), 10.0, 0).estimate is None


def test_demand_stays_at_what_was_provided_until_traffic_comes():
    demand = sample(ServiceDemand(), 4.0, 45)
    demand = sample(demand, 20.0, 12, start=4.0)

    assert demand.estimate.needed_engines == 45
