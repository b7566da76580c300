"""Enforces the quota of a workspace across all hosts without a message per request.

Every host keeps a copy of the same token bucket. It subtracts what it admits itself at
once, and what other hosts admitted when their cumulative counts arrive. When the bucket
is nearly empty, or others spend more than the rate, those counts arrive too late. A
host then spends only its own share of the slack that operators accept and of the rate,
and nothing while the bucket is overdrawn. Unreachable hosts are assumed to spend their
share.

A host that restarts has lost its buckets. They count as empty at its start, until it
takes over the levels that were stored, and then those that another host has kept. While
no host runs nothing is spent, so the buckets refill from the time of the stored levels.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import exp
from random import random
from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Admit, Reject

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from amaranthhollow.decisions.site import Quota

__all__ = ["MIN_COUNTS_AGE_SECONDS", "HostCounts", "QuotaLimiter", "QuotaTolerance"]

# Fraction of the burst in a new bucket on the first start of the system.
INITIAL_FILL = 0.5
# Above this fraction of the burst, the bucket has room for what the other hosts admit
# between two exchanges.
MIN_SHARED_FILL = 0.5
# A host may accumulate this many seconds of its own share of the rate.
MAX_SHARE_SECONDS = 0.5
# Fraction of the accepted slack that enlarges the bucket, so that clumps of requests of
# a workspace within its quota are admitted.
CAPACITY_SLACK = 0.4
# Fraction of the slack that hosts spend from a nearly empty bucket before they receive
# each other's counts.
SPENDABLE_SLACK = 0.33
# At small sites the counts of reachable hosts are at most this old.
MIN_COUNTS_AGE_SECONDS = 0.5
# Over this time the spending of the other hosts is averaged.
RATE_TIME_CONSTANT_SECONDS = 2.0
# A bucket that was overdrawn stays shared while the others spend more of the rate.
MAX_CALM_RATIO = 0.75
# A host whose reports are older than expected by this is counted as unreachable.
UNREACHABLE_SECONDS = 1.0
# By then a bucket that was nearly empty has refilled.
ADOPTED_LEVELS_SECONDS = 10.0
# By then the bucket of a restarted host depends on its counts, not on its empty start.
LEVELS_SETTLING_SECONDS = 2.0


@dataclass(frozen=True)
class QuotaTolerance:
    """The excess over a quota that operators accept.

    Hosts enforce the quota with ``excess_ratio``, a fraction of it, since callers lose
    every request that is rejected below it. Operators also accept ``slack`` in each
    window, in the unit of the quota. It is left for what hosts admit before they
    receive each other's counts. Windows last ``window_seconds``; what was spent before
    the last one no longer counts against a workspace.
    """

    excess_ratio: float = 0.0
    slack: float = 0.0
    window_seconds: float = float("inf")

    def enforced_quota(self, quota: Quota) -> Quota:
        """Return the quota that all hosts together enforce."""
        return replace(
            quota,
            rate_per_second=quota.rate_per_second * (1 + self.excess_ratio),
            burst=quota.burst * (1 + self.excess_ratio),
        )


@dataclass(frozen=True)
class HostCounts:
    """The number of hosts that share the quotas, and of those reachable now.

    What the reachable ones have spent is known up to ``max_age_seconds`` ago.
    """

    total: int = 1
    reachable: int = 1
    max_age_seconds: float = MIN_COUNTS_AGE_SECONDS


@dataclass
class _Bucket:
    """A copy of a workspace's bucket, and what this host may take from its bottom.

    ``others_rate`` is what the other hosts spent a second, lately, and ``is_shared``
    whether this host uses its share, since the bucket is nearly empty. One that
    ``was_overdrawn`` is shared until it has been full for long, with little demand;
    ``calm_since`` is when that began.
    """

    quota: Quota
    hosts: HostCounts
    level: float
    share_level: float
    slack_level: float
    updated_at: float
    spent: float = 0.0
    others_rate: float = 0.0
    is_shared: bool = False
    was_overdrawn: bool = False
    calm_since: float = 0.0


@dataclass(frozen=True)
class _EarlierSpending:
    """What other hosts spent of a bucket that this host does not have yet."""

    spent: float
    since: float


class QuotaLimiter:
    """Limits the requests of all workspaces at one host to their quotas."""

    def __init__(
        self,
        tolerance: QuotaTolerance | None = None,
        *,
        restarted_at: float | None = None,
        draw: Callable[[], float] = random,
    ) -> None:
        """Start without buckets; without a tolerance, quotas are exact.

        Use ``restarted_at`` on a restart: what was spent before is not known, so the
        buckets were empty at that time. ``draw`` returns a number from 0 to 1.
        """
        self._draw = draw
        self._tolerance = tolerance or QuotaTolerance()
        self._restarted_at = restarted_at
        self._adopted_levels: dict[str, float] = {}
        self._adopted_at = 0.0
        self._buckets_by_workspace: dict[str, _Bucket] = {}
        self._spent_by_host: dict[str, dict[str, float]] = {}
        self._observed_at_by_host: dict[str, float] = {}
        self._earlier_by_workspace: dict[str, _EarlierSpending] = {}

    def levels(self, now: float) -> dict[str, float] | None:
        """Return the level of each workspace's bucket; None soon after a restart."""
        if not self.knows_levels(now):
            return None
        buckets = self._buckets_by_workspace.items()
        levels = {workspace: bucket.level for workspace, bucket in buckets}
        if now - self._adopted_at < ADOPTED_LEVELS_SECONDS:
            # No request has come here since, so there is no bucket yet.
            return {**self._adopted_levels, **levels}
        return levels

    def level_seconds(self) -> dict[str, float]:
        """Return what each workspace has left in seconds of its rate, as last known."""
        return {
            workspace: bucket.level / bucket.quota.rate_per_second
            for workspace, bucket in self._buckets_by_workspace.items()
            if bucket.quota.rate_per_second
        }

    def knows_levels(self, now: float) -> bool:
        """Return whether the levels no longer depend on the assumption at a restart."""
        restarted_at = self._restarted_at
        return restarted_at is None or now >= restarted_at + LEVELS_SETTLING_SECONDS

    def adopt_levels(
        self, levels: Mapping[str, float], as_of: float, *, is_current: bool = True
    ) -> None:
        """Take over the levels at the time ``as_of``, after a restart.

        They are those that another host has kept, which may not know what this host
        has spent since its start. Stored levels are not ``is_current``: others may be
        adopted later, and are not passed on before.
        """
        if is_current:
            self._restarted_at = None
        for workspace, bucket in self._buckets_by_workspace.items():
            if workspace in levels:
                bucket.level = levels[workspace] - bucket.spent
                bucket.updated_at = as_of
        self._adopted_levels = dict(levels)
        self._adopted_at = as_of

    def admit(
        self, workspace: str, quota: Quota, cost: float, hosts: HostCounts, now: float
    ) -> Admit | Reject:
        """Admit or reject a request that costs ``cost`` tokens or requests."""
        quota = self._tolerance.enforced_quota(quota)
        bucket = self._refill(workspace, quota, hosts, now)
        unreachable = 1.0 - hosts.reachable / hosts.total
        unreachable_reserve = unreachable * self._capacity(quota)
        remaining = bucket.level - cost
        if not bucket.was_overdrawn and remaining >= max(
            unreachable_reserve, _min_unshared_level(bucket)
        ):
            bucket.is_shared = False
        else:
            if bucket.level > 0.0 and not bucket.is_shared:
                self._begin_sharing(bucket, cost, hosts)
            if remaining >= unreachable_reserve and bucket.slack_level >= cost:
                bucket.slack_level -= cost
            elif bucket.share_level > 0 and bucket.level > 0:
                bucket.share_level -= cost
            else:
                return Reject(retry_at=now + _wait_seconds(bucket, cost))
        bucket.level = remaining
        bucket.spent += cost
        return Admit()

    def _begin_sharing(self, bucket: _Bucket, cost: float, hosts: HostCounts) -> None:
        """Spread the first requests that the hosts admit from their shares over time.

        At once, one request of each host could cost more than the bucket has.
        """
        bucket.is_shared = True
        if bucket.share_level > 0.0 and (
            self._draw() * hosts.total * cost > bucket.level
        ):
            bucket.share_level -= self._draw() * cost

    def _capacity(self, quota: Quota) -> float:
        return quota.burst + CAPACITY_SLACK * self._tolerance.slack

    def spent(self) -> dict[str, float]:
        """Return the cost of all requests admitted since the start, by workspace."""
        return {w: b.spent for w, b in self._buckets_by_workspace.items()}

    def observe(
        self,
        host: str,
        spent_by_workspace: Mapping[str, float],
        now: float,
        *,
        is_recent: bool = False,
    ) -> None:
        """Subtract what another host admitted, from its cumulative counts.

        ``host`` identifies the host's incarnation. Its first report has the counts of
        all workspaces and only sets the baseline, since they may be old, unless that
        incarnation ``is_recent``: it has just started. Later reports may leave out
        unchanged counts. The full count of a workspace that is new in them is
        subtracted.
        """
        is_first = host not in self._spent_by_host
        previous = self._spent_by_host.setdefault(host, {})
        silent_seconds = now - self._observed_at_by_host.get(host, now)
        self._observed_at_by_host[host] = now
        for workspace, spent in spent_by_workspace.items():
            admitted = max(0.0, spent - previous.get(workspace, 0.0))
            previous[workspace] = spent
            if is_recent or not is_first:
                self._subtract(workspace, admitted, now, silent_seconds)

    def _subtract(
        self, workspace: str, admitted: float, now: float, silent_seconds: float
    ) -> None:
        """Subtract what a host admitted in the time since its previous report.

        While it was unreachable, its share of the rate was not refilled here, and it
        spent no more than that and its share of the bucket. Only the latter is left to
        subtract.
        """
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is not None:
            if silent_seconds > UNREACHABLE_SECONDS + bucket.hosts.max_age_seconds:
                admitted = min(admitted, self._unreachable_share(bucket))
            # Full buckets refill no further, so this must not wait for a request.
            self._advance(bucket, now)
            bucket.level -= admitted
            bucket.others_rate += admitted / RATE_TIME_CONSTANT_SECONDS
        elif admitted > 0.0:
            earlier = self._earlier_by_workspace.get(workspace)
            if earlier is None:
                earlier = _EarlierSpending(0.0, now)
            spent = earlier.spent + admitted
            self._earlier_by_workspace[workspace] = replace(earlier, spent=spent)

    def _unreachable_share(self, bucket: _Bucket) -> float:
        """Return what an unreachable host may spend beyond its share of the rate."""
        hosts, rate = bucket.hosts, bucket.quota.rate_per_second
        seconds = UNREACHABLE_SECONDS + hosts.max_age_seconds
        # A host that was alone for long no longer counts the others in the total.
        host_count = max(hosts.total, 1 + len(self._spent_by_host))
        return (self._capacity(bucket.quota) + rate * seconds) / host_count

    def forget(self, host: str) -> None:
        """Drop the counts of an incarnation that has ended."""
        self._spent_by_host.pop(host, None)
        self._observed_at_by_host.pop(host, None)

    def _refill(
        self, workspace: str, quota: Quota, hosts: HostCounts, now: float
    ) -> _Bucket:
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            bucket = self._new_bucket(workspace, quota, hosts, now)
            self._buckets_by_workspace[workspace] = bucket
        bucket.quota, bucket.hosts = quota, hosts
        self._advance(bucket, now)
        return bucket

    def _advance(self, bucket: _Bucket, now: float) -> None:
        """Refill a bucket for the time since the last change."""
        quota, hosts = bucket.quota, bucket.hosts
        elapsed = max(0.0, now - bucket.updated_at)
        share_rate = quota.rate_per_second / hosts.total
        max_share = share_rate * MAX_SHARE_SECONDS
        reachable_rate = quota.rate_per_second * hosts.reachable / hosts.total
        max_slack = SPENDABLE_SLACK * self._tolerance.slack / hosts.total
        slack_rate = max_slack / hosts.max_age_seconds
        bucket.slack_level = min(max_slack, bucket.slack_level + slack_rate * elapsed)
        self._record_overdraft(bucket, now)
        # No overdraft lasts longer than a window, whatever other hosts have reported.
        bucket.level = max(
            bucket.level, -quota.rate_per_second * self._tolerance.window_seconds
        )
        capacity = self._capacity(quota)
        bucket.level = min(capacity, bucket.level + reachable_rate * elapsed)
        self._end_overdraft_if_calm(bucket, now)
        bucket.share_level = min(max_share, bucket.share_level + share_rate * elapsed)
        bucket.others_rate *= exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)
        bucket.updated_at = max(bucket.updated_at, now)

    def _record_overdraft(self, bucket: _Bucket, now: float) -> None:
        """Share a bucket that is overdrawn by more than what is left of the slack."""
        unused_slack = (1.0 - CAPACITY_SLACK - SPENDABLE_SLACK) * self._tolerance.slack
        if bucket.level < -unused_slack:
            bucket.was_overdrawn = True
            bucket.is_shared = False
            bucket.calm_since = now

    def _end_overdraft_if_calm(self, bucket: _Bucket, now: float) -> None:
        """Forget an overdraft once the bucket is full and demand has fallen.

        What others spend is seen late, so a bucket seems full soon after it reopens.
        """
        rate = bucket.quota.rate_per_second
        is_full = bucket.level >= self._capacity(bucket.quota)
        if not is_full or bucket.others_rate > MAX_CALM_RATIO * rate:
            bucket.calm_since = now
        elif now >= bucket.calm_since + 2 * bucket.hosts.max_age_seconds:
            bucket.was_overdrawn = False

    def _new_bucket(
        self, workspace: str, quota: Quota, hosts: HostCounts, now: float
    ) -> _Bucket:
        level = self._adopted_levels.get(workspace)
        if level is not None:
            level = min(self._capacity(quota), level)
            return _Bucket(quota, hosts, level, 0.0, 0.0, self._adopted_at)
        if self._restarted_at is not None:
            return _Bucket(quota, hosts, 0.0, 0.0, 0.0, self._restarted_at)
        level = self._capacity(quota) - quota.burst * (1.0 - INITIAL_FILL)
        earlier = self._earlier_by_workspace.pop(workspace, None)
        if earlier is not None:
            refilled = quota.rate_per_second * (now - earlier.since)
            level -= max(0.0, earlier.spent - refilled)
        share = quota.rate_per_second / hosts.total * MAX_SHARE_SECONDS
        slack = SPENDABLE_SLACK * self._tolerance.slack / hosts.total
        return _Bucket(quota, hosts, level, share, slack, now)


def _min_unshared_level(bucket: _Bucket) -> float:
    """Return the level from which on the other hosts' late counts do no harm."""
    quota = bucket.quota
    excess_rate = max(0.0, bucket.others_rate - quota.rate_per_second)
    unseen = excess_rate * bucket.hosts.max_age_seconds
    return max(quota.burst * MIN_SHARED_FILL, unseen)


def _wait_seconds(bucket: _Bucket, cost: float) -> float:
    """Return when this host has a share again and the bucket is not overdrawn."""
    rate, hosts = bucket.quota.rate_per_second, bucket.hosts
    missing_share = max(0.0, -bucket.share_level) + cost / hosts.total
    reachable_rate = rate * hosts.reachable / hosts.total
    overdrawn_seconds = max(0.0, -bucket.level) / reachable_rate
    return max(missing_share * hosts.total / rate, overdrawn_seconds)
