"""The duty lease: one holder at a time, and no alternation within one lease.

The store may return from an older copy, with its leases and its count of revisions.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthhollow.decisions.duties import DutyState, ObservedHolder
from amaranthhollow.decisions.store_position import StorePosition

LEASE_SECONDS = 3.0
CALL_SECONDS = 0.8
HOSTS = ("a", "b", "c")


@dataclass(frozen=True)
class StoredLease:
    host: str
    token: int
    expires_at: float


class DutyMachine(RuleBasedStateMachine):
    """Hosts that pause, lose answers and contend for a lease in one store.

    A host hears of a new era from a peer or from the next response of the store.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.era = 0
        self.revision = 0
        self.stored_by_era = {}
        self.copy = (0, {})
        self.known_era_by_host = dict.fromkeys(HOSTS, 0)
        self.states = {host: DutyState(LEASE_SECONDS) for host in HOSTS}
        self.released_at_by_host = {}
        self.calls = []

    @property
    def stored(self):
        """The lease that the hosts of the newest era contend for."""
        stored = self.stored_by_era.get(self.era)
        return stored if stored is not None and self.now < stored.expires_at else None

    def is_first_call_in_era(self, host):
        """Return whether the response to a call tells the host of a new era."""
        is_first = self.known_era_by_host[host] != self.era
        self.hears_of_era(host)
        return is_first

    def hears_of_era(self, host):
        if self.known_era_by_host[host] != self.era:
            self.known_era_by_host[host] = self.era
            self.states[host] = self.states[host].store_restored(self.now)

    @rule(seconds=st.floats(0.05, 2.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def store_is_copied(self):
        self.copy = (self.revision, dict(self.stored_by_era))

    @rule()
    def store_is_restored(self):
        self.era += 1
        self.revision, copied = self.copy
        self.stored_by_era = dict(copied)

    @rule(sender=st.sampled_from(HOSTS), receiver=st.sampled_from(HOSTS))
    def learns_era_from_peer(self, sender, receiver):
        if self.known_era_by_host[sender] == self.era:
            self.hears_of_era(receiver)

    @rule(host=st.sampled_from(HOSTS), took=st.floats(0, 0.5))
    def contends(self, host, took):
        state = self.states[host]
        if not state.should_contend(HOSTS.index(host), self.now):
            return
        requested_at, self.now = self.now, self.now + took
        if self.is_first_call_in_era(host) or self.stored is not None:
            self.states[host] = self.states[host].lost(self.now)
            return
        self.revision += 1
        token = StorePosition(self.era, self.revision).fencing_token
        expires_at = self.now + LEASE_SECONDS
        self.stored_by_era[self.era] = StoredLease(host, token, expires_at)
        self.states[host] = state.acquired(token, requested_at)

    @rule(host=st.sampled_from(HOSTS), answer_is_lost=st.booleans())
    def renews(self, host, answer_is_lost):
        state = self.states[host]
        if state.held_lease is None:
            return
        holds = self.stored is not None and self.stored.host == host
        if holds:
            expires_at = self.now + LEASE_SECONDS
            self.stored_by_era[self.era] = replace(self.stored, expires_at=expires_at)
        if answer_is_lost or self.is_first_call_in_era(host):
            return
        self.states[host] = state.renewed(self.now) if holds else state.lost(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def notices_expiry(self, host):
        if self.states[host].is_expired(self.now):
            self.states[host] = self.states[host].lost(self.now)

    @rule(host=st.sampled_from(HOSTS))
    def shuts_down(self, host):
        """Others may take the duties while the host finishes its open requests."""
        if self.stored is not None and self.stored.host == host:
            del self.stored_by_era[self.era]
        released = self.states[host].released(host)
        self.states[host] = released
        self.released_at_by_host.setdefault(host, self.now)
        for other in HOSTS:
            if other != host and released.observed_holder is not None:
                self.states[other] = self.states[other].observe_holder(
                    released.observed_holder
                )

    @rule(host=st.sampled_from(HOSTS))
    def starts_after_shutdown(self, host):
        """The drain precedes the restart."""
        released_at = self.released_at_by_host.pop(host, None)
        if released_at is not None:
            self.now = max(self.now, released_at + LEASE_SECONDS)
            self.starts(host)

    @rule(host=st.sampled_from(HOSTS), down=st.floats(0.05, 1.0))
    def is_killed_and_started_again(self, host, down):
        """The process forgets the lease, and the store keeps it until it expires."""
        self.now += down
        self.released_at_by_host.pop(host, None)
        self.starts(host)

    def starts(self, host):
        self.states[host] = DutyState.at_restart(LEASE_SECONDS, self.now)
        self.known_era_by_host[host] = 0

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


def test_hosts_that_start_together_contend_one_after_the_other():
    states = [DutyState(LEASE_SECONDS, starts_at=10.0) for _ in range(3)]
    contending = [
        [state.should_contend(rank, now) for rank, state in enumerate(states)]
        for now in (9.9, 10.1, 10.3)
    ]

    assert contending == [
        [False, False, False],
        [True, False, False],
        [True, True, False],
    ]


# Guards against holders that act in the order A, B, A within a lease, as A was killed
# and B gave the lease back.
def test_killed_holder_that_restarts_does_not_alternate_with_one_that_shuts_down():
    machine = DutyMachine()
    machine.contends("a", 0.0)
    machine.time_passes(0.5)
    machine.calls_as_holder("a")
    machine.is_killed_and_started_again("a", 0.3)
    machine.time_passes(2.25)
    machine.contends("b", 0.0)
    machine.calls_as_holder("b")
    machine.shuts_down("b")
    machine.contends("a", 0.0)
    machine.calls_as_holder("a")

    assert [host for _, host, _ in machine.calls] == ["a", "b"]
    machine.holders_do_not_alternate_within_a_lease()


def test_restarted_host_contends_a_lease_after_its_start():
    state = DutyState.at_restart(LEASE_SECONDS, 10.0)
    released = ObservedHolder("b", 7, 0.0, is_released=True)

    assert not state.should_contend(0, 13.0)
    assert not state.observe_holder(released).should_contend(0, 13.0)
    assert state.observe_holder(released).should_contend(0, 13.3)


def test_nobody_contends_before_the_lost_leases_have_expired():
    holder = DutyState(LEASE_SECONDS).acquired(5, 10.0).store_restored(11.0)
    other = DutyState(LEASE_SECONDS).store_restored(11.0)

    assert not holder.may_call(11.0, 0.1)
    assert not holder.should_contend(0, 14.0)
    assert not other.should_contend(0, 14.0)
    assert holder.should_contend(0, 14.3)
    assert other.should_contend(0, 14.5)


def test_previous_holder_contends_first_after_a_restore():
    holder = DutyState(LEASE_SECONDS).acquired(5, 10.0).store_restored(11.0)
    other = DutyState(LEASE_SECONDS).store_restored(11.0)

    assert holder.token_at_restore == 5
    assert other.token_at_restore == 0
    assert holder.contends_at < other.contends_at


def test_failed_attempt_does_not_shorten_the_wait_after_a_restore():
    state = DutyState(LEASE_SECONDS).store_restored(11.0).lost(11.1)

    assert not state.should_contend(0, 14.0)
