"""At most once: every interleaving of daemons, lost answers, crashes and trims."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from amaranthhollow.decisions import claim_shard
from amaranthhollow.decisions.claim_messages import (
    GrantClaim,
    RefusalReason,
    RefuseClaim,
    ReplayAnswer,
    WriteHead,
)
from tests.decisions.claims_model import RETENTION_SECONDS, ClaimsModel

pytestmark = pytest.mark.invariant

KEYS = st.sampled_from(["k1", "k2", "k3", "k4"])
INDEX = st.integers(min_value=0, max_value=2)


class ClaimsMachine(RuleBasedStateMachine):
    """Random steps of three daemons that share one shard."""

    @initialize()
    def start(self):
        self.model = ClaimsModel(daemon_count=3)

    def _daemon(self, index, holds):
        """Return the first daemon from ``index`` on for which ``holds`` is true."""
        daemons = self.model.daemons
        order = daemons[index:] + daemons[:index]
        return next((daemon for daemon in order if holds(daemon)), None)

    def _any(self, holds):
        return any(map(holds, self.model.daemons))

    @rule(index=INDEX, key=KEYS)
    def request(self, index, key):
        self.model.request(self.model.daemons[index], key)

    @rule(index=INDEX, key=KEYS)
    def request_and_decide(self, index, key):
        daemon = self.model.daemons[index]
        self.model.request(daemon, key)
        self.model.finish_calls(daemon)

    @rule(index=INDEX, other=INDEX, key=KEYS)
    def ask_owner(self, index, other, key):
        daemons = self.model.daemons
        if index != other:
            self.model.ask_owner(daemons[index], daemons[other], key)

    @rule(index=INDEX)
    def withdraw_forwarded(self, index):
        daemon = self.model.daemons[index]
        if daemon.forwarded:
            self.model.withdraw_forwarded(daemon)

    @rule(index=INDEX, key=KEYS)
    def serve(self, index, key):
        daemon = self.model.daemons[index]
        record = self.model.request(daemon, key)
        self.model.finish_calls(daemon)
        if record.claim_id in daemon.granted:
            self.model.run(daemon, record)
        if record.claim_id in daemon.ran:
            self.model.report(daemon, record, is_answered=True)
        self.model.finish_calls(daemon)

    @rule(index=INDEX)
    def finish_calls(self, index):
        self.model.finish_calls(self.model.daemons[index])

    @precondition(lambda self: self._any(lambda d: d.call))
    @rule(index=INDEX)
    def carry_out(self, index):
        self.model.carry_out(self._daemon(index, lambda d: d.call))

    @precondition(lambda self: self._any(lambda d: d.reply))
    @rule(index=INDEX)
    def deliver(self, index):
        self.model.deliver(self._daemon(index, lambda d: d.reply))

    @precondition(lambda self: self._any(lambda d: d.call))
    @rule(index=INDEX)
    def fail(self, index):
        self.model.fail(self._daemon(index, lambda d: d.call))

    @precondition(lambda self: self._any(lambda d: isinstance(d.call, WriteHead)))
    @rule(index=INDEX, lands_now=st.booleans())
    def lose_answer(self, index, lands_now):
        daemon = self._daemon(index, lambda d: isinstance(d.call, WriteHead))
        self.model.lose_answer(daemon, lands_now=lands_now)

    @precondition(lambda self: self.model.service.late_writes)
    @rule()
    def land_late(self):
        self.model.land_late()

    @precondition(lambda self: self._any(lambda d: d.undecided))
    @rule(index=INDEX)
    def withdraw(self, index):
        daemon = self._daemon(index, lambda d: d.undecided)
        self.model.withdraw(daemon, next(iter(daemon.undecided.values())))

    @precondition(lambda self: self._any(lambda d: d.granted))
    @rule(index=INDEX)
    def run(self, index):
        daemon = self._daemon(index, lambda d: d.granted)
        self.model.run(daemon, next(iter(daemon.granted.values())))

    @precondition(lambda self: self._any(lambda d: d.granted))
    @rule(index=INDEX)
    def report_not_run(self, index):
        daemon = self._daemon(index, lambda d: d.granted)
        self.model.report_not_run(daemon, next(iter(daemon.granted.values())))

    @precondition(lambda self: self._any(lambda d: d.ran))
    @rule(index=INDEX, is_answered=st.booleans())
    def report(self, index, is_answered):
        daemon = self._daemon(index, lambda d: d.ran)
        record = next(iter(daemon.ran.values()))
        self.model.report(daemon, record, is_answered=is_answered)

    @precondition(lambda self: self._any(lambda d: d.granted or d.ran))
    @rule(index=INDEX)
    def crash(self, index):
        self.model.crash(self.model.daemons[index])

    @rule(seconds=st.sampled_from([0.1, 1.0, 1.0, 150.0, 600.0, RETENTION_SECONDS + 1]))
    def pass_time(self, seconds):
        self.model.pass_time(seconds)

    def teardown(self):
        if not hasattr(self, "model"):
            return
        self.model.settle()
        for daemon in self.model.daemons:
            assert not daemon.undecided, "a claim without a result"
            assert not daemon.state.outcomes, "an outcome that is not recorded"


@pytest.mark.parametrize("max_head_bytes", [4_096, 120])
def test_no_interleaving_runs_a_key_twice(monkeypatch, max_head_bytes):
    monkeypatch.setattr(claim_shard, "MAX_SHARD_HEAD_BYTES", max_head_bytes)
    profile = settings(
        max_examples=300,
        stateful_step_count=50,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(ClaimsMachine, settings=profile)


@pytest.fixture
def model():
    return ClaimsModel(daemon_count=2)


def result(model, record):
    return model.result_by_claim_id.get(record.claim_id)


def answer(model, daemon, record):
    model.settle()
    model.run(daemon, record)
    model.report(daemon, record, is_answered=True)
    model.settle()


def test_claim_is_granted_only_after_the_write(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.carry_out(daemon)
    model.deliver(daemon)
    assert isinstance(daemon.call, WriteHead)
    assert result(model, record) is None
    model.carry_out(daemon)
    model.deliver(daemon)
    assert result(model, record) == GrantClaim(record.claim_id)


def test_waiting_claims_share_one_write(model):
    daemon = model.daemons[0]
    for number in range(50):
        model.request(daemon, f"k{number}")
    model.settle()
    assert len(daemon.granted) == 50
    assert model.service.writes == 1


def test_repeat_at_another_daemon_gets_the_answer(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    answer(model, first, record)
    repeat = model.request(second, "k1")
    model.settle()
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_repeat_gets_an_answer_that_is_not_written_yet(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.settle()
    model.request(daemon, "k2")
    model.finish_calls(daemon)
    model.run(daemon, record)
    model.report(daemon, record, is_answered=True)
    assert daemon.state.outcomes
    repeat = model.request(daemon, "k1")
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_repeat_while_the_first_runs_is_refused(model):
    first, second = model.daemons
    model.request(first, "k1")
    model.settle()
    repeat = model.request(second, "k1")
    model.settle()
    assert result(model, repeat).reason is RefusalReason.IN_PROGRESS


def test_repeat_with_another_body_is_refused(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    answer(model, first, record)
    repeat = model.request(second, "k1", body="another")
    model.settle()
    assert result(model, repeat).reason is RefusalReason.REQUEST_DIFFERS


def test_repeat_at_an_idle_daemon_reads_the_head_again(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    model.settle()
    early = model.request(second, "k1")
    model.settle()
    assert result(model, early).reason is RefusalReason.IN_PROGRESS
    model.run(first, record)
    model.report(first, record, is_answered=True)
    model.settle()
    late = model.request(second, "k1")
    model.settle()
    assert isinstance(result(model, late), ReplayAnswer)


def test_lost_answer_of_a_landed_write_is_read_back(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.carry_out(daemon)
    model.deliver(daemon)
    model.lose_answer(daemon, lands_now=True)
    model.settle()
    assert result(model, record) == GrantClaim(record.claim_id)
    assert model.service.writes == 1


def test_withdrawn_claim_whose_write_lands_late_is_closed(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    model.carry_out(first)
    model.deliver(first)
    model.lose_answer(first, lands_now=False)
    model.withdraw(first, record)
    model.land_late()
    model.settle()
    repeat = model.request(second, "k1")
    model.settle()
    assert result(model, repeat) == GrantClaim(repeat.claim_id)


def test_claim_closed_by_its_daemon_is_not_written_by_the_owner_later(model):
    daemon, owner = model.daemons
    model.request(owner, "k2")
    model.ask_owner(daemon, owner, "k1")
    model.withdraw(daemon, next(iter(daemon.undecided.values())))
    model.finish_calls(daemon)
    model.settle()
    repeat = model.request(daemon, "k1")
    model.settle()
    assert result(model, repeat) == GrantClaim(repeat.claim_id)


def test_an_owner_that_withdraws_late_closes_no_claim_of_another_daemon(model):
    daemon, owner = model.daemons
    model.ask_owner(daemon, owner, "k1")
    model.carry_out(owner)
    model.deliver(owner)
    model.lose_answer(owner, lands_now=True)
    model.finish_calls(daemon)
    (granted,) = daemon.granted.values()
    model.run(daemon, granted)
    model.report(daemon, granted, is_answered=True)
    model.finish_calls(daemon)
    model.withdraw_forwarded(owner)
    model.settle()
    repeat = model.request(owner, "k1")
    model.settle()
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_outage_refuses_every_waiting_claim_at_once(model):
    daemon = model.daemons[0]
    records = [model.request(daemon, f"k{number}") for number in range(3)]
    model.fail(daemon)
    reasons = {result(model, record).reason for record in records}
    assert reasons == {RefusalReason.SERVICE_UNAVAILABLE}
    again = model.request(daemon, "k1")
    assert isinstance(result(model, again), RefuseClaim)


def test_daemon_paused_across_a_trim_does_not_claim_again(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    answer(model, first, record)
    model.request(second, "k2")
    model.carry_out(second)
    model.deliver(second)
    model.pass_time(RETENTION_SECONDS - 1)
    for number in range(3, 6):
        model.request(first, f"k{number}")
    model.finish_calls(first)
    model.carry_out(second)
    model.deliver(second)
    assert not second.granted


def test_outcome_reported_during_the_backoff_is_recorded_after_it(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.settle()
    model.request(daemon, "k1")
    model.fail(daemon)
    model.run(daemon, record)
    model.report(daemon, record, is_answered=True)
    model.settle()
    repeat = model.request(daemon, "k1")
    model.settle()
    assert isinstance(result(model, repeat), ReplayAnswer)
