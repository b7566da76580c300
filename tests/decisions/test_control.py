"""Leases and fencing tokens, with holders that pause at any point."""

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
    """Two holders, a service whose lease expires, and orders that may be delayed.

    A holder may pause between its check and its send, which `delay_order` does.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revision = 0
        self.lease_expires_at = 0.0
        self.owner = None
        self.leases = [None, None]
        self.order_ends_at = [0.0, 0.0]
        self.delayed_tokens = []
        self.highest_token = 0
        self.accepted_tokens = []

    @rule(index=INDEX, delay=st.sampled_from([0.0, 0.4]))
    def keep_lease(self, index, delay):
        """Acquire or renew the lease; the request takes ``delay`` to the service."""
        requested_at = self.now
        self.now += delay
        is_free = self.owner is None or self.now >= self.lease_expires_at
        lease = self.leases[index]
        if is_free and (lease is None or self.now >= lease.expires_at):
            self.revision += 1
            self.owner = index
            self.lease_expires_at = self.now + LEASE_SECONDS
            expires_at = requested_at + LEASE_SECONDS
            self.leases[index] = HeldLease(self.revision, self.now, expires_at)
        elif self.owner == index and lease is not None and not is_free:
            self.lease_expires_at = self.now + LEASE_SECONDS
            self.leases[index] = HeldLease(
                lease.fencing_token, lease.acquired_at, requested_at + LEASE_SECONDS
            )
        elif lease is not None and self.now >= lease.expires_at:
            self.leases[index] = None

    @rule(index=INDEX)
    def order_engine_that_ignores_token(self, index):
        """An order times out before another holder may send one."""
        if may_send_order(self.leases[index], self.now, checks_token=False):
            other = 1 - index
            assert self.order_ends_at[other] <= self.now, (
                "orders of two holders overlap"
            )
            self.order_ends_at[index] = self.now + ORDER_TIMEOUT_SECONDS

    @rule(index=INDEX)
    def order_engine_that_checks_token(self, index):
        if may_send_order(self.leases[index], self.now, checks_token=True):
            self._apply_order(self.leases[index].fencing_token)

    @rule(index=INDEX)
    def delay_order(self, index):
        if may_send_order(self.leases[index], self.now, checks_token=True):
            self.delayed_tokens.append(self.leases[index].fencing_token)

    @precondition(lambda self: self.delayed_tokens)
    @rule()
    def apply_delayed_order(self):
        self._apply_order(self.delayed_tokens.pop(0))

    def _apply_order(self, token):
        if token >= self.highest_token:
            self.highest_token = token
            self.accepted_tokens.append(token)
        assert self.accepted_tokens == sorted(self.accepted_tokens)

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0, 6.0]))
    def pass_time(self, seconds):
        self.now += seconds


def test_orders_of_two_holders_never_overlap():
    profile = settings(
        max_examples=400,
        stateful_step_count=40,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(LeaseMachine, settings=profile)


def test_no_order_is_sent_that_may_outlast_the_lease():
    lease = HeldLease(fencing_token=1, acquired_at=0.0, expires_at=5.0)
    assert may_send_order(lease, 3.9, checks_token=False)
    assert not may_send_order(lease, 4.0, checks_token=False)
    assert not may_send_order(None, 1.0, checks_token=True)


def test_orders_go_only_to_engines_that_serve_another_version():
    wanted, old = ModelVersion("m", "2"), ModelVersion("m", "1")
    served = {"a": wanted, "b": old, "c": None}
    orders = missing_orders(wanted, served, fencing_token=7)
    assert sorted(orders) == ["b", "c"]
    assert {order.fencing_token for order in orders.values()} == {7}
