"""The duty lease: one holder at a time, and no alternation within one lease."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthhollow.decisions.duties import DutyState, ObservedHolder

LEASE_SECONDS = 3.0
CALL_SECONDS = 0.8
HOSTS = ("a", "b", "c")


@dataclass
class StoredLease:
    host: str
    token: int
    expires_at: float


class DutyMachine(RuleBasedStateMachine):
    """Hosts that pause, lose answers and contend for a lease in one store."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.token = 0
        self.stored = None
        self.states = {host: DutyState(LEASE_SECONDS) for host in HOSTS}
        self.calls = []

    @rule(seconds=st.floats(0.05, 2.0))
    def time_passes(self, seconds):
        self.now += seconds
        if self.stored is not None and self.now >= self.stored.expires_at:
            self.stored = None

    @rule(host=st.sampled_from(HOSTS), took=st.floats(0, 0.5))
    def contends(self, host, took):
        state = self.states[host]
        if not state.should_contend(HOSTS.index(host), self.now):
            return
        requested_at, self.now = self.now, self.now + took
        if self.stored is not None and self.now < self.stored.expires_at:
            self.states[host] = state.lost(self.now)
            return
        self.token += 1
        self.stored = StoredLease(host, self.token, self.now + LEASE_SECONDS)
        self.states[host] = state.acquired(self.token, requested_at)

    @rule(host=st.sampled_from(HOSTS), answer_is_lost=st.booleans())
    def renews(self, host, answer_is_lost):
        state = self.states[host]
        if state.held_lease is None:
            return
        holds = self.stored is not None and self.stored.host == host
        if holds:
            self.stored.expires_at = self.now + LEASE_SECONDS
        if answer_is_lost:
            return
        self.states[host] = state.renewed(self.now) if holds else state.lost(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def notices_expiry(self, host):
        if self.states[host].is_expired(self.now):
            self.states[host] = self.states[host].lost(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def shuts_down_and_restarts(self, host):
        """The notice to the load balancer and the drain precede the restart."""
        if self.stored is not None and self.stored.host == host:
            self.stored = None
        released = self.states[host].released(host)
        for other in HOSTS:
            if other != host and released.observed_holder is not None:
                self.states[other] = self.states[other].observe_holder(
                    released.observed_holder
                )
        self.now += LEASE_SECONDS
        self.states[host] = DutyState(LEASE_SECONDS)

    @rule(sender=st.sampled_from(HOSTS), receiver=st.sampled_from(HOSTS))
    def learns_holder_from_peer(self, sender, receiver):
        lease = self.states[sender].held_lease
        if lease is not None and sender != receiver:
            holder = ObservedHolder(sender, lease.fencing_token, lease.expires_at)
            self.states[receiver] = self.states[receiver].observe_holder(holder)

    @rule(host=st.sampled_from(HOSTS))
    def calls_as_holder(self, host):
        state = self.states[host]
        if state.may_call(self.now, CALL_SECONDS):
            self.calls.append((self.now, host, state.held_lease.fencing_token))

    @invariant()
    def tokens_never_decrease(self):
        tokens = [token for _, _, token in self.calls]
        assert tokens == sorted(tokens)

    @invariant()
    def holders_do_not_alternate_within_a_lease(self):
        for index, (at, host, _token) in enumerate(self.calls):
            within = [a for a in self.calls[index:] if a[0] - at < LEASE_SECONDS]
            changes = [a for a in within if a[1] != host]
            if changes:
                regained = [a for a in within if a[1] == host and a[2] > changes[0][2]]
                assert not regained


TestDuties = DutyMachine.TestCase
TestDuties.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
