"""At-most-once runs per key while the service returns from older copies.

A claim that the service loses is written again by the daemons that hold it before any
daemon grants another one. So no key runs twice unless all of them are lost as well.
"""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import initialize, rule, run_state_machine_as_test

from amaranthhollow.decisions import claim_shard
from amaranthhollow.decisions.claim_messages import (
    ClaimHeld,
    GrantClaim,
    RefusalReason,
    RefuseClaim,
    ReplayAnswer,
    WriteHead,
)
from amaranthhollow.decisions.claim_restoration import (
    GRANT_DELAY_SECONDS,
    HELD_RECORD_SECONDS,
)
from tests.decisions.claims_model import RETENTION_SECONDS
from tests.decisions.restored_claims_model import RestoredClaimsModel
from tests.decisions.test_claims import INDEX, ClaimsMachine

pytestmark = pytest.mark.invariant


class RestoredClaimsMachine(ClaimsMachine):
    """Random steps of three daemons whose service returns from older copies."""

    @initialize()
    def start(self):
        self.model = RestoredClaimsModel(daemon_count=3)

    @rule()
    def take_copy(self):
        self.model.take_copy()

    @rule(index=st.integers(0, 5))
    def restore(self, index):
        self.model.restore(index)

    @rule(index=INDEX)
    def hear_of_era(self, index):
        self.model.hear_of_era(self.model.daemons[index])


@pytest.mark.parametrize("max_head_bytes", [4_096, 120])
def test_random_interleavings_with_restores_run_no_key_twice(
    monkeypatch, max_head_bytes
):
    monkeypatch.setattr(claim_shard, "MAX_SHARD_HEAD_BYTES", max_head_bytes)
    profile = settings(
        max_examples=300,
        stateful_step_count=60,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(RestoredClaimsMachine, settings=profile)


@pytest.fixture
def model():
    return RestoredClaimsModel(daemon_count=2)


def result(model, record):
    return model.result_by_claim_id.get(record.claim_id)


def claim_and_run(model, daemon, key):
    record = model.request(daemon, key)
    model.finish_calls(daemon)
    model.run(daemon, record)
    return record


def test_lost_claim_is_written_again_before_its_key_is_granted(model):
    first, second = model.daemons
    record = claim_and_run(model, first, "k1")
    model.restore(0)
    model.hear_of_era(second)
    model.hear_of_era(first)
    refused = model.request(second, "k1")
    model.run_until_idle()
    model.report(first, record, is_answered=True)
    model.run_until_idle()
    repeat = model.request(second, "k1")
    model.run_until_idle()

    unavailable = RefusalReason.SERVICE_UNAVAILABLE
    assert result(model, refused) == RefuseClaim(refused.claim_id, unavailable)
    assert isinstance(result(model, repeat), ReplayAnswer)


def test_lost_claim_is_written_again_by_the_daemon_for_which_it_was_granted(model):
    """The daemon that wrote the claim fails together with the service."""
    first, second = model.daemons
    record = claim_and_run(model, first, "k1")
    model._apply_event(second, ClaimHeld(record))
    copies = list(model.service.copies)
    model.crash(first)
    model.service.copies = copies
    model.restore(0)
    model.run_until_idle()
    repeat = model.request(model.daemons[0], "k1")
    model.run_until_idle()

    refusal = RefuseClaim(repeat.claim_id, RefusalReason.IN_PROGRESS)
    assert result(model, repeat) == refusal


# The model lost a record that one daemon held, with it, and expected it to be restored.
def test_record_of_one_holder_survives_a_restore_that_the_holder_survives(model):
    first, second = model.daemons
    claim_and_run(model, first, "k1")
    model.restore(0)
    model.crash(first)
    repeat = model.request(second, "k1")
    model.run_until_idle()

    assert not isinstance(result(model, repeat), GrantClaim)


# A lost claim was taken as stored where the older copy had an expired claim on its key.
def test_lost_claim_replaces_the_expired_one_of_an_older_copy(model):
    first, second = model.daemons
    claim_and_run(model, first, "k1")
    model.pass_time(RETENTION_SECONDS + 1)
    model.take_copy()
    claim_and_run(model, first, "k2")
    claim_and_run(model, second, "k1")
    model.request(first, "k3")
    model.fail(first)
    model.restore(len(model.service.copies) - 1)
    model.run_until_idle()
    repeat = model.request(first, "k1")
    model.run_until_idle()

    assert not isinstance(result(model, repeat), GrantClaim)


def test_new_keys_are_granted_after_the_delay(model):
    daemon = model.daemons[0]
    claim_and_run(model, daemon, "k1")
    model.restore(0)
    model.run_until_idle()
    record = model.request(daemon, "k2")
    model.run_until_idle()

    assert result(model, record) == GrantClaim(record.claim_id)


def test_write_of_an_earlier_era_changes_no_head_of_the_new_one(model):
    """The new head has reached the revision that the late write expects."""
    first, second = model.daemons
    late = model.request(first, "k1")
    model.carry_out(first)
    model.deliver(first)
    model.lose_answer(first, is_applied_now=False)
    model.restore(0)
    model.hear_of_era(second)
    model.pass_time(GRANT_DELAY_SECONDS)
    claim_and_run(model, second, "k1")
    model.finish_late_write()
    model.run_until_idle()
    repeat = model.request(first, "k1")
    model.run_until_idle()

    assert not isinstance(result(model, late), GrantClaim)
    assert not isinstance(result(model, repeat), GrantClaim)


def test_held_records_are_dropped_when_every_copy_has_them(model):
    daemon = model.daemons[0]
    claim_and_run(model, daemon, "k1")
    model.pass_time(HELD_RECORD_SECONDS + 1)
    claim_and_run(model, daemon, "k2")

    assert len(daemon.state.held_by_key) == 1


def test_head_of_an_earlier_era_may_refer_to_a_lost_segment(model, monkeypatch):
    """A daemon that does not know of the restore spills to a segment, then the head.

    Only the head reaches the restored service; the daemon holds the records of both.
    """
    monkeypatch.setattr(claim_shard, "MAX_SHARD_HEAD_BYTES", 120)
    first, second = model.daemons
    records = [model.request(first, f"k{number}") for number in range(4)]
    model.run_until_idle()
    for record in records:
        model.run(first, record)
    model.take_copy()
    model.request(first, "k4")
    while not isinstance(first.call, WriteHead):
        model.carry_out(first)
        model.deliver(first)
    model.restore(len(model.service.copies) - 1)
    model.service.segments_by_id.clear()
    model.carry_out(first)
    model.deliver(first)
    model.run_until_idle()
    repeats = [model.request(second, f"k{number}") for number in range(4)]
    model.run_until_idle()

    in_progress = RefusalReason.IN_PROGRESS
    for repeat in repeats:
        assert result(model, repeat) == RefuseClaim(repeat.claim_id, in_progress)
