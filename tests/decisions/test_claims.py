"""At-most-once runs per key, with concurrent daemons, lost answers and crashes."""

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

    def _find_daemon(self, index, predicate):
        """Return the first daemon from ``index`` on that fulfils ``predicate``."""
        daemons = self.model.daemons
        order = daemons[index:] + daemons[:index]
        return next((daemon for daemon in order if predicate(daemon)), None)

    def _any(self, predicate):
        return any(map(predicate, self.model.daemons))

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
        if record.claim_id in daemon.running:
            self.model.report(daemon, record, is_answered=True)
        self.model.finish_calls(daemon)

    @rule(index=INDEX)
    def finish_calls(self, index):
        self.model.finish_calls(self.model.daemons[index])

    @precondition(lambda self: self._any(lambda d: d.call))
    @rule(index=INDEX)
    def carry_out(self, index):
        self.model.carry_out(self._find_daemon(index, lambda d: d.call))

    @precondition(lambda self: self._any(lambda d: d.reply))
    @rule(index=INDEX)
    def deliver(self, index):
        self.model.deliver(self._find_daemon(index, lambda d: d.reply))

    @precondition(lambda self: self._any(lambda d: d.call))
    @rule(index=INDEX)
    def fail(self, index):
        self.model.fail(self._find_daemon(index, lambda d: d.call))

    @precondition(lambda self: self._any(lambda d: isinstance(d.call, WriteHead)))
    @rule(index=INDEX, is_applied_now=st.booleans())
    def lose_answer(self, index, is_applied_now):
        daemon = self._find_daemon(index, lambda d: isinstance(d.call, WriteHead))
        self.model.lose_answer(daemon, is_applied_now=is_applied_now)

    @precondition(lambda self: self.model.service.late_writes)
    @rule()
    def finish_late_write(self):
        self.model.finish_late_write()

    @precondition(lambda self: self._any(lambda d: d.undecided))
    @rule(index=INDEX)
    def withdraw(self, index):
        daemon = self._find_daemon(index, lambda d: d.undecided)
        self.model.withdraw(daemon, next(iter(daemon.undecided.values())))

    @precondition(lambda self: self._any(lambda d: d.granted))
    @rule(index=INDEX)
    def run(self, index):
        daemon = self._find_daemon(index, lambda d: d.granted)
        self.model.run(daemon, next(iter(daemon.granted.values())))

    @precondition(lambda self: self._any(lambda d: d.granted))
    @rule(index=INDEX)
    def report_not_run(self, index):
        daemon = self._find_daemon(index, lambda d: d.granted)
        self.model.report_not_run(daemon, next(iter(daemon.granted.values())))

    @precondition(lambda self: self._any(lambda d: d.running))
    @rule(index=INDEX, is_answered=st.booleans())
    def report(self, index, is_answered):
        daemon = self._find_daemon(index, lambda d: d.running)
        record = next(iter(daemon.running.values()))
        self.model.report(daemon, record, is_answered=is_answered)

    @precondition(lambda self: self._any(lambda d: d.granted or d.running))
    @rule(index=INDEX)
    def crash(self, index):
        self.model.crash(self.model.daemons[index])

    @rule(seconds=st.sampled_from([0.1, 1.0, 1.0, 150.0, 600.0, RETENTION_SECONDS + 1]))
    def pass_time(self, seconds):
        self.model.pass_time(seconds)

    def teardown(self):
        if not hasattr(self, "model"):
            return
        self.model.run_until_idle()
        for daemon in self.model.daemons:
            assert not daemon.undecided, "claim has no result"
            assert not daemon.state.outcomes, "outcome is not recorded"


@pytest.mark.parametrize("max_head_bytes", [4_096, 120])
def test_random_interleavings_run_no_key_twice(monkeypatch, max_head_bytes):
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


def run_and_answer(model, daemon, record):
    model.run_until_idle()
    model.run(daemon, record)
    model.report(daemon, record, is_answered=True)
    model.run_until_idle()


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
    model.run_until_idle()
    assert len(daemon.granted) == 50
    assert model.service.writes == 1


def test_repeat_at_another_daemon_gets_the_answer(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    run_and_answer(model, first, record)
    repeat = model.request(second, "k1")
    model.run_until_idle()
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_repeat_gets_answer_that_is_not_written_yet(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.run_until_idle()
    model.request(daemon, "k2")
    model.finish_calls(daemon)
    model.run(daemon, record)
    model.report(daemon, record, is_answered=True)
    assert daemon.state.outcomes
    repeat = model.request(daemon, "k1")
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_repeat_is_refused_while_first_request_runs(model):
    first, second = model.daemons
    model.request(first, "k1")
    model.run_until_idle()
    repeat = model.request(second, "k1")
    model.run_until_idle()
    assert result(model, repeat).reason is RefusalReason.IN_PROGRESS


def test_repeat_with_another_body_is_refused(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    run_and_answer(model, first, record)
    repeat = model.request(second, "k1", body="another")
    model.run_until_idle()
    assert result(model, repeat).reason is RefusalReason.REQUEST_DIFFERS


def test_repeat_at_idle_daemon_rereads_head(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    model.run_until_idle()
    first_repeat = model.request(second, "k1")
    model.run_until_idle()
    assert result(model, first_repeat).reason is RefusalReason.IN_PROGRESS
    model.run(first, record)
    model.report(first, record, is_answered=True)
    model.run_until_idle()
    second_repeat = model.request(second, "k1")
    model.run_until_idle()
    assert isinstance(result(model, second_repeat), ReplayAnswer)


def test_claim_is_granted_after_rereading_head_if_write_answer_is_lost(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.carry_out(daemon)
    model.deliver(daemon)
    model.lose_answer(daemon, is_applied_now=True)
    model.run_until_idle()
    assert result(model, record) == GrantClaim(record.claim_id)
    assert model.service.writes == 1


def test_withdrawn_claim_with_late_write_is_recorded_as_not_run(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    model.carry_out(first)
    model.deliver(first)
    model.lose_answer(first, is_applied_now=False)
    model.withdraw(first, record)
    model.finish_late_write()
    model.run_until_idle()
    repeat = model.request(second, "k1")
    model.run_until_idle()
    assert result(model, repeat) == GrantClaim(repeat.claim_id)


def test_owner_does_not_write_claim_closed_by_its_daemon(model):
    daemon, owner = model.daemons
    model.request(owner, "k2")
    model.ask_owner(daemon, owner, "k1")
    model.withdraw(daemon, next(iter(daemon.undecided.values())))
    model.finish_calls(daemon)
    model.run_until_idle()
    repeat = model.request(daemon, "k1")
    model.run_until_idle()
    assert result(model, repeat) == GrantClaim(repeat.claim_id)


def test_late_withdrawal_by_owner_does_not_close_superseding_claim(model):
    daemon, owner = model.daemons
    model.ask_owner(daemon, owner, "k1")
    model.carry_out(owner)
    model.deliver(owner)
    model.lose_answer(owner, is_applied_now=True)
    model.finish_calls(daemon)
    (granted,) = daemon.granted.values()
    model.run(daemon, granted)
    model.report(daemon, granted, is_answered=True)
    model.finish_calls(daemon)
    model.withdraw_forwarded(owner)
    model.run_until_idle()
    repeat = model.request(owner, "k1")
    model.run_until_idle()
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_service_failure_refuses_all_waiting_claims_immediately(model):
    daemon = model.daemons[0]
    records = [model.request(daemon, f"k{number}") for number in range(3)]
    model.fail(daemon)
    reasons = {result(model, record).reason for record in records}
    assert reasons == {RefusalReason.SERVICE_UNAVAILABLE}
    again = model.request(daemon, "k1")
    assert isinstance(result(model, again), RefuseClaim)


def test_daemon_paused_while_records_expire_is_not_granted_a_claim(model):
    first, second = model.daemons
    record = model.request(first, "k1")
    run_and_answer(model, first, record)
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


def test_outcome_reported_during_backoff_is_recorded_after_it(model):
    daemon = model.daemons[0]
    record = model.request(daemon, "k1")
    model.run_until_idle()
    model.request(daemon, "k1")
    model.fail(daemon)
    model.run(daemon, record)
    model.report(daemon, record, is_answered=True)
    model.run_until_idle()
    repeat = model.request(daemon, "k1")
    model.run_until_idle()
    assert isinstance(result(model, repeat), ReplayAnswer)
