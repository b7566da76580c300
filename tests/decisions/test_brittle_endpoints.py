"""Brittle endpoints: shares of their slots, and many hosts that use them."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.brittle_endpoints import BrittleEndpoints, EndpointUse
from tests.brittle_rule import allowed_falls
from tests.decisions.brittle_model import BrittleModel

pytestmark = pytest.mark.invariant

HOSTS = tuple(f"host-{n}" for n in range(8))


def use_of(endpoint_id="e1", incarnation=1, running=0, slots=6, hosts=HOSTS):
    return EndpointUse(endpoint_id, incarnation, "service", slots, running, hosts)


def brittle_with(tolerated, host="host-1", now=100.0):
    brittle = BrittleEndpoints(host)
    fact = brittle.observe(use_of(), tolerated, sent_at=now, now=now)
    brittle.apply(fact, "service", now)
    return brittle


@pytest.mark.parametrize("slots", [1, 6, 8, 64])
def test_hosts_use_all_slots_and_no_more(slots):
    sendable = 0
    for host in HOSTS:
        brittle = brittle_with(0.0, host)
        running = 0
        while brittle.may_send(use_of(running=running, slots=slots), 100.0):
            running += 1
        sendable += running

    assert sendable == slots


def test_host_without_statement_sends_without_bound():
    assert BrittleEndpoints("host-1").may_send(use_of(running=99), 100.0)


def test_rejection_suspends_the_share_of_a_host():
    brittle = brittle_with(0.0)
    use = use_of(slots=64)
    assert brittle.may_send(use, 100.0)
    brittle.record_rejection("e1", 100.0)

    assert not brittle.may_send(use, 100.5)
    assert brittle.may_send(use, 101.1)


# An endpoint that had fallen over was flooded by all hosts as soon as it was back.
def test_restarted_endpoint_is_taken_for_brittle():
    brittle = brittle_with(5.0)

    assert not brittle.may_send(use_of(incarnation=2, running=8), 101.0)
    assert not brittle.may_send(use_of("e2", running=8), 101.0)


def test_end_of_the_brittle_time_is_noticed():
    brittle = brittle_with(5.0)
    fact = brittle.observe(use_of(), None, sent_at=101.0, now=101.1)
    brittle.apply(fact, "service", 101.1)

    assert brittle.may_send(use_of(running=99), 101.2)
    assert brittle.may_send(use_of("e2", running=99), 101.2)


# Endpoints fell over for what all hosts together sent them beyond their room.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("slots", [6, 64])
@pytest.mark.parametrize(("host_count", "endpoint_count"), [(8, 6), (90, 12)])
@pytest.mark.parametrize("tolerated", [2, 8])
def test_endpoints_seldom_fall_at_any_load(
    host_count, endpoint_count, slots, tolerated, seed
):
    model = BrittleModel(host_count, endpoint_count, slots, tolerated, seed)
    model.run(1.0, load=0.3)
    model.state_brittle()
    model.run(3.0, load=0.5)
    for load in (0.8, 3.0, 0.6):
        model.run(2.0, load=load)

    assert model.falls <= allowed_falls(endpoint_count)


@pytest.mark.parametrize(
    ("host_count", "endpoint_count", "slots"), [(8, 6, 64), (8, 6, 6), (90, 12, 64)]
)
def test_hosts_use_the_room_of_brittle_endpoints(host_count, endpoint_count, slots):
    model = BrittleModel(host_count, endpoint_count, slots, 5, seed=1)
    model.run(1.0, load=0.3)
    model.state_brittle()
    model.run(3.0, load=0.5)
    model.served = model.refused = 0
    model.run(3.0, load=0.6)

    assert model.served >= 0.9 * (model.served + model.refused)
