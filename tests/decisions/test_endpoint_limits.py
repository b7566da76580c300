"""Limits of endpoints: hosts keep them together, alone, and under faults."""

from __future__ import annotations

import os

import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.endpoint_limits import EndpointLimiter
from tests.decisions.limits_model import LimitsModel

pytestmark = pytest.mark.invariant

HOSTS = ("host-1", "host-2", "host-3")


def limiter_with(rate, now=100.0, host="host-1"):
    limiter = EndpointLimiter(host)
    limiter.apply(limiter.observe("e", 1, rate, sent_at=now, now=now), now)
    return limiter


def seeds():
    """Return a few seeds, or those that the environment selects."""
    first, _, last = os.environ.get("AMARANTHHOLLOW_LIMIT_SEEDS", "1-3").partition("-")
    return range(int(first), int(last or first) + 1)


def send_times(limiter, hosts, start, end, step=0.01):
    """Return when a host sends that always has a request to send."""
    sent_at = []
    for index in range(int((end - start) / step)):
        now = start + index * step
        if limiter.may_send("e", 1, hosts, now):
            limiter.record_sent("e")
            sent_at.append(now)
    return sent_at


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(rate=st.floats(0.0, 60.0), start=st.floats(100.0, 200.0))
def test_all_hosts_together_send_at_most_the_limit(rate, start):
    sent_at = sorted(
        at
        for host in HOSTS
        for at in send_times(limiter_with(rate, start, host), HOSTS, start, start + 9)
    )

    effective = max(rate, 0.25)
    for at in sent_at:
        in_window = sum(at <= other < at + 4.0 for other in sent_at)
        assert in_window <= 5.0 * effective + max(1.0, 0.2 * rate) + 1.0
    assert len(sent_at) >= 0.7 * 9 * effective - 3


def test_host_sends_without_limit_unless_the_endpoint_states_one():
    limiter = EndpointLimiter("host-1")

    assert limiter.may_send("e", 1, (), 100.0)
    assert not limiter_with(1.0).may_send("e", 1, (), 100.0)


def test_unused_slots_expire():
    limiter = limiter_with(1.0)

    assert len(send_times(limiter, ("host-1",), 110.5, 110.6)) == 1


def test_clock_that_goes_backwards_yields_no_slot_twice():
    limiter = limiter_with(2.0)
    first = send_times(limiter, ("host-1",), 101.0, 103.0)
    again = send_times(limiter, ("host-1",), 101.0, 103.0)

    assert first
    assert again == []


def test_limit_belongs_to_one_incarnation():
    limiter = limiter_with(1.0)

    assert limiter.rate("e", 1) == 1.0
    assert limiter.rate("e", 2) is None
    assert limiter.rate("e", 0) == 1.0


# A response that had been sent before the first one with a limit ended that limit.
def test_response_to_an_earlier_request_does_not_end_a_limit():
    limiter = limiter_with(1.0, now=100.0)

    assert limiter.observe("e", 1, None, sent_at=100.3, now=100.9) is None
    assert limiter.observe("e", 1, None, sent_at=100.6, now=100.9) is not None


def test_response_of_an_earlier_incarnation_changes_nothing():
    limiter = EndpointLimiter("host-1")
    fact = limiter.observe("e", 5, 1.0, sent_at=100.0, now=100.0)
    limiter.apply(fact, 100.0)

    assert limiter.observe("e", 4, None, sent_at=105.0, now=105.0) is None
    assert limiter.observe("e", 4, 9.0, sent_at=105.0, now=105.0) is None


# A statement by an endpoint was dropped since another host's clock was ahead.
def test_newer_statement_overrides_one_of_a_clock_that_is_ahead():
    limiter = limiter_with(1.0, now=100.0)
    fact = limiter.observe("e", 1, 2.0, sent_at=99.0, now=99.0)
    known = limiter.observe("e", 1, 3.0, sent_at=99.0, now=98.0)

    assert fact.version.sequence > 100_000
    assert known.version.sequence > 100_000


# An endpoint that limits all hosts together got more from hosts that were disturbed.
@pytest.mark.parametrize("seed", seeds())
@pytest.mark.parametrize("rate", [0.5, 1.1, 4.0, 20.0])
@pytest.mark.parametrize("host_count", [8, 90])
def test_limit_holds_under_restarts_freezes_cuts_and_new_hosts(host_count, rate, seed):
    model = LimitsModel(host_count, rate, seed)
    per_host = max(4.0, 3.0 * rate / host_count)
    model.run(1.0, per_host, 0.0)
    model.state_limit()
    model.run(20.0, per_host, fault_rate=0.4)
    model.withdraw_limit()

    assert model.record.largest_window() <= model.record.allowed


@pytest.mark.parametrize("host_count", [8, 90])
def test_hosts_use_the_limit_and_all_hear_of_its_end(host_count):
    model = LimitsModel(host_count, 4.0, seed=1)
    model.state_limit()
    model.run(4.0, 4.0, 0.0)
    sent_before = model.sent
    model.run(8.0, 4.0, 0.0)
    assert model.sent - sent_before >= 0.6 * 8.0 * 4.0
    model.withdraw_limit()
    model.run(5.0, 4.0, 0.0)

    assert model.limited_hosts() == 0
