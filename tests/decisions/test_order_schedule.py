"""When orders of engines are sent, repeated and held back."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.order_schedule import OrderSchedule
from amaranthhollow.decisions.planner import EngineCounts, EngineOrder


def order(count, data_centre="dc-1"):
    return EngineOrder("model", data_centre, True, count)


@pytest.fixture
def schedule():
    """A schedule whose order of three engines was accepted at time 10."""
    schedule = OrderSchedule()
    schedule.record_accepted(order(3), 10.0)
    return schedule


def test_order_with_effect_is_not_repeated(schedule):
    assert not schedule.is_due(order(3), EngineCounts(3, 0), 20.0)


def test_order_without_effect_is_repeated_once_engines_should_have_started(schedule):
    assert not schedule.is_due(order(3), EngineCounts(1, 0), 15.9)
    assert schedule.is_due(order(3), EngineCounts(1, 0), 16.0)


def test_decrease_is_taken_back_at_once(schedule):
    """A burst comes just after the demand had fallen."""
    assert schedule.is_due(order(2), EngineCounts(3, 0), 16.0)
    schedule.record_accepted(order(2), 16.0)

    assert not schedule.is_due(order(1), EngineCounts(2, 0), 16.5)
    assert schedule.is_due(order(4), EngineCounts(2, 0), 16.5)


def test_increases_follow_each_other_with_a_delay(schedule):
    assert not schedule.is_due(order(4), EngineCounts(3, 0), 12.0)
    assert schedule.is_due(order(4), EngineCounts(3, 0), 16.0)


def test_refused_order_is_sent_again_and_marks_its_data_centre(schedule):
    schedule.record_refused(order(2, "dc-2"), 10.0)

    assert schedule.unavailable_data_centres("model", 15.9) == {"dc-2"}
    assert schedule.unavailable_data_centres("model", 16.1) == set()
    assert not schedule.is_due(order(2, "dc-2"), EngineCounts(), 12.9)
    assert schedule.is_due(order(2, "dc-2"), EngineCounts(), 13.0)


def test_new_term_sends_all_orders_again(schedule):
    schedule.start_term()

    assert schedule.is_due(order(3), EngineCounts(3, 0), 10.1)
