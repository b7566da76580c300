"""Enforces the quota of a workspace across all hosts without a message per request.

Every host keeps a copy of the same token bucket. It subtracts what it admits itself at
once, and what other hosts admitted when their cumulative counts arrive. When the bucket
is nearly empty those counts arrive too late, so a host then spends only its own share
of the slack that operators accept and of the rate. Unreachable hosts are assumed to
spend their share.

A host that restarts has lost its buckets. They count as empty at its start, until it
takes over the levels that were stored, and then those that another host has kept. While
no host runs nothing is spent, so the buckets refill from the time of the stored levels.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Admit, Reject

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthhollow.decisions.site import Quota

__all__ = ["MIN_COUNTS_AGE_SECONDS", "HostCounts", "QuotaLimiter", "QuotaTolerance"]

# Fraction of the burst in a new bucket on the first start of the system.
INITIAL_FILL = 0.5
# Above this fraction of the burst, the bucket has room for what the other hosts admit
# between two exchanges.
MIN_SHARED_FILL = 0.5
# A host may accumulate this many seconds of its own share of the rate.
MAX_SHARE_SECONDS = 0.5
# Fraction of the accepted slack that hosts spend from a nearly empty bucket. The rest
# is left for their shares of the rate, for large requests and for lost messages.
SPENDABLE_SLACK = 0.5
# At small sites the counts of reachable hosts are at most this old.
MIN_COUNTS_AGE_SECONDS = 0.5
# By then the bucket of a restarted host depends on its counts, not on its empty start.
LEVELS_SETTLING_SECONDS = 2.0


@dataclass(frozen=True)
class QuotaTolerance:
    """The excess over a quota that operators accept.

    Hosts enforce the quota with ``excess_ratio``, a fraction of it, since callers lose
    every request that is rejected below it. Operators also accept ``slack`` in each
    window, in the unit of the quota. It is left for what hosts admit before they
    receive each other's counts.
    """

    excess_ratio: float = 0.0
    slack: float = 0.0

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
    """A copy of a workspace's bucket, and what this host may take from its bottom."""

    level: float
    share_level: float
    slack_level: float
    updated_at: float
    spent: float = 0.0


class QuotaLimiter:
    """Limits the requests of all workspaces at one host to their quotas."""

    def __init__(
        self,
        tolerance: QuotaTolerance | None = None,
        *,
        restarted_at: float | None = None,
    ) -> None:
        """Start without buckets; without a tolerance, quotas are exact.

        Use ``restarted_at`` on a restart: what was spent before is not known, so the
        buckets were empty at that time.
        """
        self._tolerance = tolerance or QuotaTolerance()
        self._restarted_at = restarted_at
        self._adopted_levels: dict[str, float] = {}
        self._adopted_at = 0.0
        self._buckets_by_workspace: dict[str, _Bucket] = {}
        self._spent_by_host: dict[str, dict[str, float]] = {}

    def levels(self, now: float) -> dict[str, float] | None:
        """Return the level of each workspace's bucket; None soon after a restart."""
        if not self.knows_levels(now):
            return None
        return {w: b.level for w, b in self._buckets_by_workspace.items()}

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
        unreachable_reserve = quota.burst * (1.0 - hosts.reachable / hosts.total)
        reserve = max(quota.burst * MIN_SHARED_FILL, unreachable_reserve)
        remaining = bucket.level - cost
        if remaining < reserve:
            if remaining >= unreachable_reserve and bucket.slack_level >= cost:
                bucket.slack_level -= cost
            elif bucket.share_level > 0:
                bucket.share_level -= cost
            else:
                missing = -bucket.share_level + cost / hosts.total
                wait = missing * hosts.total / quota.rate_per_second
                return Reject(retry_at=now + wait)
        bucket.level = remaining
        bucket.spent += cost
        return Admit()

    def spent(self) -> dict[str, float]:
        """Return the cost of all requests admitted since the start, by workspace."""
        return {w: b.spent for w, b in self._buckets_by_workspace.items()}

    def observe(
        self,
        host: str,
        spent_by_workspace: Mapping[str, float],
        *,
        is_recent: bool = False,
    ) -> None:
        """Subtract what another host admitted, from its cumulative counts.

        ``host`` identifies the host's incarnation. Its first report has the counts of
        all workspaces and only sets the baseline, since they may be old, unless that
        incarnation ``is_recent``: it started at about the time of this host, or later.
        Later reports may leave out unchanged counts. The full count of a workspace
        that is new in them is subtracted.
        """
        is_first = host not in self._spent_by_host
        previous = self._spent_by_host.setdefault(host, {})
        for workspace, spent in spent_by_workspace.items():
            admitted = max(0.0, spent - previous.get(workspace, 0.0))
            previous[workspace] = spent
            bucket = self._buckets_by_workspace.get(workspace)
            if bucket is not None and (is_recent or not is_first):
                bucket.level -= admitted

    def forget(self, host: str) -> None:
        """Drop the counts of an incarnation that has ended."""
        self._spent_by_host.pop(host, None)

    def _refill(
        self, workspace: str, quota: Quota, hosts: HostCounts, now: float
    ) -> _Bucket:
        share_rate = quota.rate_per_second / hosts.total
        max_share = share_rate * MAX_SHARE_SECONDS
        max_slack = SPENDABLE_SLACK * self._tolerance.slack / hosts.total
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            bucket = self._new_bucket(workspace, quota, max_share, max_slack, now)
            self._buckets_by_workspace[workspace] = bucket
        elapsed = max(0.0, now - bucket.updated_at)
        reachable_rate = quota.rate_per_second * hosts.reachable / hosts.total
        slack_rate = max_slack / hosts.max_age_seconds
        bucket.level = min(quota.burst, bucket.level + reachable_rate * elapsed)
        bucket.share_level = min(max_share, bucket.share_level + share_rate * elapsed)
        bucket.slack_level = min(max_slack, bucket.slack_level + slack_rate * elapsed)
        bucket.updated_at = now
        return bucket

    def _new_bucket(
        self, workspace: str, quota: Quota, share: float, slack: float, now: float
    ) -> _Bucket:
        level = self._adopted_levels.get(workspace)
        if level is not None:
            return _Bucket(min(quota.burst, level), 0.0, 0.0, self._adopted_at)
        if self._restarted_at is not None:
            return _Bucket(0.0, 0.0, 0.0, self._restarted_at)
        return _Bucket(quota.burst * INITIAL_FILL, share, slack, now)
