"""Quotas, retry budgets, freshness and usage shared by hosts without coordination."""

from __future__ import annotations

from random import Random

import pytest

from amaranthhollow.decisions.freshness import (
    READ_INTERVAL_SECONDS,
    Freshness,
    freshness_from_peer,
    read_is_due,
    seconds_until_retry,
)
from amaranthhollow.decisions.limits import Admit, Reject
from amaranthhollow.decisions.quota import (
    HostCounts,
    QuotaLimiter,
    QuotaTolerance,
)
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.decisions.site import Quota
from amaranthhollow.decisions.usage import UsageCounts, merge_counts, sum_counts

HOSTS = 8
RATE = 100_000.0
QUOTA = Quota(RATE, RATE, counts_tokens=True, plain_tokens=200)
STEP_SECONDS = 0.01
EXCHANGE_STEPS = 25
WINDOW_SECONDS = 8.0
# Accepted slack over the rate and burst in each window, and excess as a fraction.
SLACK = 190_000
EXCESS_RATIO = 0.1
MAX_PER_WINDOW = (RATE * WINDOW_SECONDS + RATE) * (1 + EXCESS_RATIO) + SLACK
# The first requests from the hosts' shares are spread by chance.
DRAW_SEEDS = (1, 2, 3)


TOLERANCE = QuotaTolerance(EXCESS_RATIO, SLACK)


def new_limiters(seed, restarted_at=None):
    return [
        QuotaLimiter(
            TOLERANCE, restarted_at=restarted_at, draw=Random(f"{seed}-{n}").random
        )
        for n in range(HOSTS)
    ]


def max_admitted_per_window(
    demand_factor,
    *,
    is_connected,
    idle_seconds,
    seconds=20.0,
    restarts_at=1000.0,
    cost=2_000.0,
    draw_seed=1,
):
    """Return the maximum that all hosts admit in any window, in tokens.

    The workspace sends ``demand_factor`` times its rate after an idle time. All hosts
    restart at ``restarts_at``, without any time in between, and lose their state.
    """
    limiters = new_limiters(draw_seed)
    for limiter in limiters:
        limiter.admit("w", QUOTA, 1.0, HostCounts(HOSTS, HOSTS), -idle_seconds)
    counts = HostCounts(HOSTS, HOSTS if is_connected else 1)
    restarts_step = int(restarts_at / STEP_SECONDS)
    pending_costs = [0.0] * HOSTS
    admitted = []
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if step == restarts_step:
            limiters = new_limiters(draw_seed, restarted_at=now)
        for host, limiter in enumerate(limiters):
            pending_costs[host] += demand_factor * RATE / HOSTS * STEP_SECONDS
            while pending_costs[host] >= cost:
                pending_costs[host] -= cost
                decision = limiter.admit("w", QUOTA, cost, counts, now)
                if isinstance(decision, Admit):
                    admitted.append((now, cost))
        if is_connected and step % EXCHANGE_STEPS == 0:
            process = f"{step >= restarts_step}"
            for host, limiter in enumerate(limiters):
                for other, peer in enumerate(limiters):
                    if other != host:
                        limiter.observe(
                            f"{other}@{process}", peer.spent(), now, is_recent=True
                        )
    return max(
        sum(c for at, c in admitted if start <= at < start + WINDOW_SECONDS)
        for start, _ in admitted[::50]
    )


@pytest.mark.parametrize("demand_factor", [1.5, 4.0, 8.0])
@pytest.mark.parametrize("is_connected", [True, False])
@pytest.mark.parametrize("idle_seconds", [0.0, 10.0])
@pytest.mark.parametrize("cost", [2_000.0, 17_000.0])
def test_overload_by_one_workspace_stays_within_its_quota(
    demand_factor, is_connected, idle_seconds, cost
):
    for draw_seed in DRAW_SEEDS:
        max_admitted = max_admitted_per_window(
            demand_factor,
            is_connected=is_connected,
            idle_seconds=idle_seconds,
            cost=cost,
            draw_seed=draw_seed,
        )

        assert max_admitted <= MAX_PER_WINDOW


@pytest.mark.parametrize("cost", [2_000.0, 17_000.0])
def test_restart_of_all_hosts_does_not_refill_the_quota(cost):
    for draw_seed in DRAW_SEEDS:
        max_admitted = max_admitted_per_window(
            4.0,
            is_connected=True,
            idle_seconds=10.0,
            restarts_at=4.0,
            cost=cost,
            draw_seed=draw_seed,
        )

        assert max_admitted <= MAX_PER_WINDOW


def test_workspace_within_its_quota_is_not_rejected():
    limiter, counts = QuotaLimiter(), HostCounts(HOSTS, HOSTS)
    decisions = [
        limiter.admit("w", QUOTA, 2_000.0, counts, step * 0.03) for step in range(500)
    ]

    assert not [d for d in decisions if isinstance(d, Reject)]


def test_retries_of_all_hosts_stay_within_the_budget():
    ratio, slack, window = 0.2, 56, 10.0
    budgets = [RetryBudget(ratio, slack, window) for _ in range(HOSTS)]
    requests = retries = 0
    for step in range(1000):
        now = step / 100
        for budget in budgets:
            budget.record_request(now)
            requests += 1
            retries += budget.try_spend(HOSTS, now)

    assert 0 < retries <= ratio * requests + slack


def test_delayed_response_does_not_increase_freshness():
    freshness = freshness_from_peer(requested_at=10.0, age_seconds=0.4)

    assert freshness.age(now=15.0) == pytest.approx(5.4)
    assert freshness.refreshed(9.0) == freshness


def test_next_host_reads_only_after_standby_delay():
    freshness = Freshness(10.0)

    assert read_is_due(freshness, rank=0, now=10.7)
    assert not read_is_due(freshness, rank=1, now=10.7)
    assert read_is_due(freshness, rank=1, now=11.2)
    assert read_is_due(Freshness(), rank=3, now=0.0)


@pytest.mark.parametrize("rank", [0, 8, 72, 369])
def test_host_of_any_rank_reads_in_time(rank):
    """A host of any rank may be isolated, and must read within the bound of 2 s."""
    assert read_is_due(Freshness(10.0), rank=rank, now=11.6)


def test_standby_waits_until_a_confirmation_has_reached_all_hosts():
    freshness = Freshness(10.0)

    assert not read_is_due(freshness, rank=1, now=11.8, spread_seconds=1.1)
    assert read_is_due(freshness, rank=1, now=12.0, spread_seconds=1.1)
    assert read_is_due(freshness, rank=369, now=12.6, spread_seconds=1.2)


# During an outage of the store, each of 195 hosts called it twice in each interval.
def test_few_hosts_call_a_store_that_does_not_respond():
    calls = 0
    for rank in range(195):
        at, failures = 0.0, 0
        while at < 6.0:
            calls += 2
            failures += 1
            at += seconds_until_retry(rank, failures)

    assert calls <= 195 * 2 * 3 + 4 * 2 * 10


def test_isolated_host_calls_a_failing_store_at_the_usual_interval():
    assert seconds_until_retry(rank=0, failures=9) == READ_INTERVAL_SECONDS


def test_usage_is_counted_in_the_window_of_the_request_start():
    first, second = UsageCounts(5.0), UsageCounts(5.0)
    first.record_started("w", 9.9)
    first.record_started("w", 10.1)
    second.record_started("w", 10.2)
    reports = [first.report(), second.report()]

    assert sum_counts(1, reports) == {"w": 1}
    assert sum_counts(2, reports) == {"w": 2}


def test_report_of_latest_windows_keeps_earlier_ones():
    previous = {1: {"w": 4}, 2: {"w": 5}}

    assert merge_counts(previous, {2: {"w": 7}, 3: {"w": 1}}) == {
        1: {"w": 4},
        2: {"w": 7},
        3: {"w": 1},
    }


def test_old_windows_are_removed():
    usage = UsageCounts(5.0)
    for window in range(100):
        usage.record_started("w", window * 5.0)

    assert len(usage.report()) == 5


def limiter_after_restart(level, *, asked=0):
    """Return a limiter that was restarted, and then learned the level of a bucket.

    It was asked for ``asked`` before, half a second after its start.
    """
    limiter = QuotaLimiter(QuotaTolerance(slack=SLACK), restarted_at=10.0)
    hosts = HostCounts(HOSTS, HOSTS)
    for _ in range(asked // 1_000):
        limiter.admit("w", QUOTA, 1_000.0, hosts, 10.5)
    limiter.adopt_levels({"w": level}, 10.5)
    limiter.admit("w", QUOTA, 1.0, hosts, 10.5)
    return limiter


def test_restarted_host_takes_over_the_level_of_another():
    """A rolling restart: the other hosts know what was spent."""
    assert limiter_after_restart(80_000.0).levels(10.5)["w"] == pytest.approx(79_999.0)


def test_what_a_restarted_host_has_spent_is_subtracted_from_the_level():
    limiter = limiter_after_restart(80_000.0, asked=6_000)

    assert limiter.spent()["w"] > 1_000.0
    assert limiter.levels(10.5)["w"] == pytest.approx(80_000.0 - limiter.spent()["w"])


def test_restarted_host_passes_on_no_level_before_it_knows_one():
    limiter = QuotaLimiter(restarted_at=10.0)

    assert limiter.levels(11.0) is None
    assert limiter.levels(12.0) == {}


def admitted_after_loss_of_all_hosts(cost, seconds):
    """Return what hosts admit that have just started, and what was asked of them.

    Callers ask for the rate, each of one host; the hosts exchange counts.
    """
    limiters = new_limiters(seed=1, restarted_at=0.0)
    admitted = asked = 0.0
    for step in range(int(seconds / STEP_SECONDS)):
        now = step * STEP_SECONDS
        if step % EXCHANGE_STEPS == 0:
            for host, limiter in enumerate(limiters):
                for other, peer in enumerate(limiters):
                    if other != host:
                        limiter.observe(str(other), peer.spent(), now, is_recent=True)
        asked += RATE * STEP_SECONDS
        if int(asked / cost) > int((asked - RATE * STEP_SECONDS) / cost):
            limiter = limiters[step % HOSTS]
            decision = limiter.admit("w", QUOTA, cost, HostCounts(HOSTS, HOSTS), now)
            admitted += cost * isinstance(decision, Admit)
    return admitted, asked


def test_callers_are_served_soon_after_the_loss_of_all_hosts():
    """All hosts restart with empty buckets while callers go on within their quota."""
    admitted, asked = admitted_after_loss_of_all_hosts(6_000.0, 4.0)

    assert admitted >= 0.9 * asked


def test_small_workspace_may_use_its_burst_at_one_host():
    """Its connections lie on one host, whose share of the rate is an eighth."""
    quota = Quota(10_000.0, 12_000.0, counts_tokens=True, plain_tokens=200)
    limiter = QuotaLimiter(QuotaTolerance(EXCESS_RATIO, SLACK))
    hosts = HostCounts(HOSTS, HOSTS)
    limiter.admit("w", quota, 1.0, hosts, 0.0)
    admitted = [limiter.admit("w", quota, 5_000.0, hosts, 2.0) for _ in range(2)]

    assert all(isinstance(decision, Admit) for decision in admitted)


def test_buckets_refill_while_no_host_runs():
    """All hosts were down for two seconds; the levels were stored before."""
    limiter = QuotaLimiter(restarted_at=10.0)
    limiter.adopt_levels({"w": 20_000.0}, 9.5, is_current=False)
    limiter.admit("w", QUOTA, 1.0, HostCounts(HOSTS, HOSTS), 10.1)

    assert limiter.levels(12.0)["w"] == pytest.approx(80_000.0 - 1.0)


def test_stored_levels_are_replaced_by_those_of_a_host():
    limiter = QuotaLimiter(restarted_at=10.0)
    limiter.adopt_levels({"w": 20_000.0}, 9.5, is_current=False)
    limiter.admit("w", QUOTA, 1.0, HostCounts(HOSTS, HOSTS), 10.1)
    assert limiter.levels(10.1) is None
    limiter.adopt_levels({"w": 5_000.0}, 10.2)

    assert limiter.levels(10.2)["w"] == pytest.approx(5_000.0 - 1.0)
