"""Duties under a lease: never two holders at once, nor turns within one lease."""

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
    lapses_at: float


class DutyMachine(RuleBasedStateMachine):
    """Hosts that freeze, lose answers and contend, against one store."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.token = 0
        self.stored = None
        self.states = {host: DutyState(LEASE_SECONDS) for host in HOSTS}
        self.acts = []

    @rule(seconds=st.floats(0.05, 2.0))
    def time_passes(self, seconds):
        self.now += seconds
        if self.stored is not None and self.now >= self.stored.lapses_at:
            self.stored = None

    @rule(host=st.sampled_from(HOSTS), took=st.floats(0, 0.5))
    def contends(self, host, took):
        state = self.states[host]
        if not state.should_contend(HOSTS.index(host), self.now):
            return
        asked_at, self.now = self.now, self.now + took
        if self.stored is not None and self.now < self.stored.lapses_at:
            self.states[host] = state.lost(self.now)
            return
        self.token += 1
        self.stored = StoredLease(host, self.token, self.now + LEASE_SECONDS)
        self.states[host] = state.acquired(self.token, asked_at)

    @rule(host=st.sampled_from(HOSTS), answer_is_lost=st.booleans())
    def renews(self, host, answer_is_lost):
        state = self.states[host]
        if state.held_lease is None:
            return
        holds = self.stored is not None and self.stored.host == host
        if holds:
            self.stored.lapses_at = self.now + LEASE_SECONDS
        if answer_is_lost:
            return
        self.states[host] = state.renewed(self.now) if holds else state.lost(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def notices_that_it_is_overdue(self, host):
        if self.states[host].is_expired(self.now):
            self.states[host] = self.states[host].lost(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def shuts_down_and_restarts(self, host):
        """The balancer's notice and the grace lie between release and restart."""
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

    @rule(teller=st.sampled_from(HOSTS), hearer=st.sampled_from(HOSTS))
    def hears_of_the_holder(self, teller, hearer):
        holding = self.states[teller].held_lease
        if holding is not None and teller != hearer:
            seen = ObservedHolder(teller, holding.fencing_token, holding.expires_at)
            self.states[hearer] = self.states[hearer].observe_holder(seen)

    @rule(host=st.sampled_from(HOSTS))
    def acts(self, host):
        state = self.states[host]
        if state.may_call(self.now, CALL_SECONDS):
            self.acts.append((self.now, host, state.held_lease.fencing_token))

    @invariant()
    def tokens_never_go_back(self):
        tokens = [token for _, _, token in self.acts]
        assert tokens == sorted(tokens)

    @invariant()
    def holders_do_not_take_turns_within_a_lease(self):
        for index, (at, host, _token) in enumerate(self.acts):
            within = [a for a in self.acts[index:] if a[0] - at < LEASE_SECONDS]
            changes = [a for a in within if a[1] != host]
            if changes:
                back = [a for a in within if a[1] == host and a[2] > changes[0][2]]
                assert not back


TestDuties = DutyMachine.TestCase
TestDuties.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
