"""Routing, limits, retries, recovery and quarantine, driven directly."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.endpoints import (
    EndpointStatus,
    EndpointTable,
    ListedEndpoint,
    endpoint_fact,
)
from amaranthhollow.decisions.limits import (
    Admit,
    Capacity,
    FairShare,
    Reject,
)
from amaranthhollow.decisions.quarantine import (
    EVIDENCE_DELAY_SECONDS,
    SLOT_LEASE_SECONDS,
    Quarantine,
    SuspectSlots,
)
from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter
from amaranthhollow.decisions.recovery import (
    LetFinish,
    MoveCache,
    Recompute,
    RunningStream,
    plan_migration,
)
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.decisions.site import Quota

pytestmark = pytest.mark.invariant


def listed(host, **changes):
    values = {
        "host": host,
        "incarnation": 1,
        "address": "127.0.0.1",
        "port": 9000,
        "data_centre": "dc-1",
        "deployment": "drafting",
    }
    return ListedEndpoint(**{**values, **changes})


def table_of(*items):
    table = EndpointTable()
    for item in items:
        table.apply(endpoint_fact(item), 0.0)
    return table


def hosts(endpoints):
    return sorted(endpoint.host for endpoint in endpoints)


def test_leaving_endpoint_gets_nothing_and_others_do():
    table = table_of(listed("a"), listed("b", status=EndpointStatus.LEAVING))
    assert hosts(table.usable("drafting", 1.0)) == ["a"]


def test_failed_endpoint_is_avoided_until_its_backoff_ends():
    table = table_of(listed("a"), listed("b"))
    table.record_failure("a", 10.0)
    assert hosts(table.usable("drafting", 10.1)) == ["b"]
    assert hosts(table.usable("drafting", 10.6)) == ["a", "b"]


def test_new_incarnation_of_a_leaving_host_is_live():
    table = table_of(
        listed("a", status=EndpointStatus.LEAVING), listed("a", incarnation=2)
    )
    assert hosts(table.usable("drafting", 1.0)) == ["a"]


def test_budget_is_enforced_and_refusal_says_when():
    limiter, quota, hosts = QuotaLimiter(), Quota.of_requests(10.0), HostCounts()
    limiter.admit("w", quota, 1.0, hosts, 0.0)
    decisions = [limiter.admit("w", quota, 1.0, hosts, 100.0) for _ in range(40)]
    admitted = sum(isinstance(decision, Admit) for decision in decisions)
    assert 10 <= admitted <= 11
    refusal = decisions[-1]
    assert isinstance(refusal, Reject)
    assert isinstance(limiter.admit("w", quota, 1.0, hosts, refusal.retry_at), Admit)


def test_retry_budget_bounds_amplification():
    budget = RetryBudget(ratio=0.1, slack=20.0, window_seconds=10.0)
    retries = 0
    for _ in range(1000):
        budget.record_request(1.0)
        retries += budget.try_spend(1, 1.0)
    assert 0 < retries <= 0.1 * 1000 + 20


def test_stream_that_ends_in_time_is_left_alone():
    stream = RunningStream(
        context_tokens=1000, remaining_tokens=50, seconds_per_token=0.03
    )
    assert plan_migration(stream, leaves_at=5.0, now=0.0) == LetFinish()
    assert plan_migration(stream, leaves_at=1.5, now=0.0) == MoveCache()
    assert plan_migration(stream, leaves_at=0.5, now=0.0) == Recompute()


LATER = 100.0


def crash(quarantine, host, digests, at, reclaimed=()):
    for digest in digests:
        quarantine.record_connection_loss(digest, host, 1, f"dc-of-{host}", at)
    for fact in quarantine.confirm_evidence(reclaimed, at + EVIDENCE_DELAY_SECONDS):
        quarantine.apply(fact)


def test_second_crash_quarantines_the_request_alone_among_suspects():
    quarantine = Quarantine()
    crash(quarantine, "a", [b"poison", b"innocent"], 1.0)
    assert quarantine.is_suspect(b"innocent")
    crash(quarantine, "b", [b"poison", b"bystander"], 2.0)
    assert quarantine.quarantined(LATER) == [b"poison"]


def test_two_suspects_at_one_crash_are_told_apart_by_the_next():
    quarantine = Quarantine()
    crash(quarantine, "a", [b"poison", b"innocent"], 1.0)
    crash(quarantine, "b", [b"poison", b"innocent"], 2.0)
    assert quarantine.quarantined(LATER) == []
    crash(quarantine, "c", [b"poison"], 3.0)
    assert quarantine.quarantined(LATER) == [b"poison"]


def test_verdict_waits_for_what_another_daemon_saw_at_the_same_crash():
    here, there = Quarantine(), Quarantine()
    for quarantine in (here, there):
        crash(quarantine, "a", [b"poison", b"innocent"], 1.0)
    here.record_connection_loss(b"innocent", "b", 1, "dc-of-b", 2.0)
    there.record_connection_loss(b"poison", "b", 1, "dc-of-b", 2.0)
    for fact in here.confirm_evidence([], 2.0 + EVIDENCE_DELAY_SECONDS):
        here.apply(fact)
    assert here.quarantined(2.0 + EVIDENCE_DELAY_SECONDS) == []
    for fact in there.confirm_evidence([], 2.0 + EVIDENCE_DELAY_SECONDS):
        here.apply(fact)
    assert here.quarantined(LATER) == []


def test_reclaimed_host_and_lost_data_centre_are_no_evidence():
    quarantine = Quarantine()
    crash(quarantine, "a", [b"x"], 1.0, reclaimed=["a"])
    for host in ("b", "c"):
        quarantine.record_connection_loss(b"x", host, 1, "dc-2", 2.0)
    assert quarantine.confirm_evidence([], 2.0 + EVIDENCE_DELAY_SECONDS) == []
    assert not quarantine.is_suspect(b"x")


def test_one_suspect_at_a_time_runs_at_an_endpoint():
    slots = SuspectSlots()
    assert slots.acquire("a", b"x", 1.0)
    assert not slots.acquire("a", b"y", 1.0)
    slots.release("a", b"y")
    assert not slots.acquire("a", b"y", 1.0)
    slots.release("a", b"x")
    assert slots.acquire("a", b"y", 1.0)
    assert slots.acquire("a", b"z", 1.0 + SLOT_LEASE_SECONDS)


def flood(share, workspace, count, capacity):
    """Send ``count`` requests that do not end, and return how many are admitted."""
    admitted = 0
    for _ in range(count):
        decision = share.admit(workspace, {"large": 2.0, "a": 1.0}, capacity, 0.0)
        if isinstance(decision, Admit):
            share.record_started(workspace)
            admitted += 1
    return admitted


def test_flooding_workspace_leaves_the_others_their_share():
    share = FairShare()
    busy = Capacity(slots=270, running=270, daemons=9)
    assert flood(share, "large", 100, busy) == 30
    assert flood(share, "a", 100, busy) >= 10


def test_everything_is_admitted_while_there_is_room():
    share = FairShare()
    quiet = Capacity(slots=270, running=100, daemons=9)
    assert flood(share, "large", 50, quiet) == 50


def test_ended_requests_free_the_share():
    share = FairShare()
    busy = Capacity(slots=90, running=90, daemons=9)
    admitted = flood(share, "large", 50, busy)
    for _ in range(admitted):
        share.record_ended("large")
    assert flood(share, "large", 50, busy) == admitted
