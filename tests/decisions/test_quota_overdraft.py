"""How long a quota stays closed after hosts have reported too much as spent."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.limits import Admit
from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter, QuotaTolerance
from amaranthhollow.decisions.site import Quota

RATE, WINDOW_SECONDS = 100.0, 8.0
QUOTA = Quota(RATE, RATE, counts_tokens=True, plain_tokens=1)
TOLERANCE = QuotaTolerance(0.1, 50.0, WINDOW_SECONDS)
HOSTS = HostCounts(3, 3)


def admits(limiter, now):
    decision = limiter.admit("w", QUOTA, 1.0, HOSTS, now)
    return isinstance(decision, Admit)


# RECOVER: hosts refused a workspace for minutes that a peer had charged too much.
@pytest.mark.parametrize("seconds_of_rate", [20.0, 1_000.0])
def test_quota_reopens_a_window_after_a_report_of_too_much(seconds_of_rate):
    limiter = QuotaLimiter(TOLERANCE)
    assert admits(limiter, 0.0)
    limiter.observe("peer@1", {"w": 0.0}, 0.0)
    limiter.observe("peer@1", {"w": seconds_of_rate * RATE}, 1.0)

    assert not admits(limiter, 1.0)
    assert not admits(limiter, 1.0 + WINDOW_SECONDS / 2)
    assert admits(limiter, 1.0 + WINDOW_SECONDS + 0.1)


# RECOVER: after the loss of all hosts every one started from the level of one of them.
@pytest.mark.parametrize("is_current", [True, False])
def test_level_far_below_zero_is_taken_over_as_one_window(is_current):
    limiter = QuotaLimiter(TOLERANCE, restarted_at=0.0)
    limiter.adopt_levels({"w": -1_000.0 * RATE}, 0.0, is_current=is_current)

    assert not admits(limiter, WINDOW_SECONDS / 2)
    assert admits(limiter, WINDOW_SECONDS + 0.1)


# A level below zero says that more was spent lately than the quota has.
def test_overdraft_of_less_than_a_window_is_kept():
    limiter = QuotaLimiter(TOLERANCE, restarted_at=0.0)
    limiter.adopt_levels({"w": -4.0 * RATE * 1.1}, 0.0)

    assert not admits(limiter, 3.9)
    assert admits(limiter, 4.1)


# A host took an empty bucket for half full that its peer had just been told of.
def test_level_is_passed_on_by_a_host_without_requests_of_the_workspace():
    relay = QuotaLimiter(TOLERANCE, restarted_at=0.0)
    relay.adopt_levels({"w": -RATE}, 0.0)
    limiter = QuotaLimiter(TOLERANCE, restarted_at=0.1)
    limiter.adopt_levels(relay.levels(0.1), 0.1)

    assert not admits(limiter, 0.9)
