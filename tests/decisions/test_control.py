"""Leases and fencing, with holders that pause at any point."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from amaranthhollow.decisions.control import (
    LEASE_SECONDS,
    ORDER_TIMEOUT_SECONDS,
    HeldLease,
    ModelVersion,
    may_send_order,
    missing_orders,
)

pytestmark = pytest.mark.invariant

INDEX = st.integers(0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """Two holders, a service whose lease lapses, and orders that may be delayed.

    A holder may pause between its check and its send, which `delay_order` does.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.lapses_at = 0.0
        self.owner = None
        self.holdings = [None, None]
        self.orders_until = [0.0, 0.0]
        self.delayed = []
        self.highest = 0
        self.accepted = []

    @rule(index=INDEX, delay=st.sampled_from([0.0, 0.4]))
    def keep(self, index, delay):
        """Acquire or renew; the service sees it ``delay`` after it was sent."""
        asked_at = self.now
        self.now += delay
        is_free = self.owner is None or self.now >= self.lapses_at
        holding = self.holdings[index]
        if is_free and (holding is None or self.now >= holding.expires_at):
            self.revision += 1
            self.owner = index
            self.lapses_at = self.now + LEASE_SECONDS
            expires_at = asked_at + LEASE_SECONDS
            self.holdings[index] = HeldLease(self.revision, self.now, expires_at)
        elif self.owner == index and holding is not None and not is_free:
            self.lapses_at = self.now + LEASE_SECONDS
            self.holdings[index] = HeldLease(
                holding.fencing_token, holding.acquired_at, asked_at + LEASE_SECONDS
            )
        elif holding is not None and self.now >= holding.expires_at:
            self.holdings[index] = None

    @rule(index=INDEX)
    def order_an_engine_that_ignores_the_token(self, index):
        """Its order is over before another holder may send one."""
        if may_send_order(self.holdings[index], self.now, checks_token=False):
            other = 1 - index
            assert self.orders_until[other] <= self.now, "two holders order at once"
            self.orders_until[index] = self.now + ORDER_TIMEOUT_SECONDS

    @rule(index=INDEX)
    def order_an_engine_that_checks(self, index):
        if may_send_order(self.holdings[index], self.now, checks_token=True):
            self._arrive(self.holdings[index].fencing_token)

    @rule(index=INDEX)
    def delay_order(self, index):
        if may_send_order(self.holdings[index], self.now, checks_token=True):
            self.delayed.append(self.holdings[index].fencing_token)

    @precondition(lambda self: self.delayed)
    @rule()
    def arrive_late(self):
        self._arrive(self.delayed.pop(0))

    def _arrive(self, token):
        if token >= self.highest:
            self.highest = token
            self.accepted.append(token)
        assert self.accepted == sorted(self.accepted)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds):
        self.now += seconds


def test_no_two_holders_order_at_once():
    profile = settings(
        max_examples=400,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(LeaseMachine, settings=profile)


def test_lease_must_outlast_the_order():
    holding = HeldLease(fencing_token=1, acquired_at=0.0, expires_at=5.0)
    assert may_send_order(holding, 3.9, checks_token=False)
    assert not may_send_order(holding, 4.0, checks_token=False)
    assert not may_send_order(None, 1.0, checks_token=True)


def test_orders_go_only_where_something_else_is_served():
    wanted, old = ModelVersion("m", "2"), ModelVersion("m", "1")
    found = {"a": wanted, "b": old, "c": None}
    orders = missing_orders(wanted, found, fencing_token=7)
    assert sorted(orders) == ["b", "c"]
    assert {order.fencing_token for order in orders.values()} == {7}
