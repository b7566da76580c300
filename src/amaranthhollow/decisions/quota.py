"""Enforces the quota of a workspace across all hosts without a message per request.

Every host keeps a copy of the same token bucket. It subtracts what it admits itself at
once, and what other hosts admitted when their cumulative counts arrive. When the bucket
is nearly empty those counts arrive too late, so a host then spends only its own share
of the rate. Unreachable hosts are assumed to spend their share.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Admit, Reject

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthhollow.decisions.site import Quota

__all__ = ["HostCounts", "QuotaLimiter", "QuotaTolerance"]

# Fraction of the burst in a new bucket on the first start of the system.
INITIAL_FILL = 0.5
# Above this fraction of the burst, the bucket has room for what the other hosts admit
# between two exchanges.
MIN_SHARED_FILL = 0.5
# A host may accumulate this many seconds of its own share of the rate.
MAX_SHARE_SECONDS = 0.5


@dataclass(frozen=True)
class QuotaTolerance:
    """The excess over a quota that operators accept, as a fraction of the quota.

    Hosts enforce the quota with this excess, since callers lose every request that is
    rejected below it. Operators also accept an absolute slack in each window, which is
    left for what hosts admit before they receive each other's counts.
    """

    excess_ratio: float = 0.0

    def enforced_quota(self, quota: Quota) -> Quota:
        """Return the quota that all hosts together enforce."""
        return replace(
            quota,
            rate_per_second=quota.rate_per_second * (1 + self.excess_ratio),
            burst=quota.burst * (1 + self.excess_ratio),
        )


@dataclass(frozen=True)
class HostCounts:
    """The number of hosts that share the quotas, and of those reachable now."""

    total: int = 1
    reachable: int = 1


@dataclass
class _Bucket:
    level: float
    share_level: float
    updated_at: float
    spent: float = 0.0


class QuotaLimiter:
    """Limits the requests of all workspaces at one host to their quotas."""

    def __init__(
        self,
        tolerance: QuotaTolerance | None = None,
        *,
        starts_empty: bool = False,
    ) -> None:
        """Start without buckets; without a tolerance, quotas are exact.

        Use ``starts_empty`` on a restart: what the host spent just before is lost, so
        its buckets start empty.
        """
        self._tolerance = tolerance or QuotaTolerance()
        self._initial_fill = 0.0 if starts_empty else INITIAL_FILL
        self._buckets_by_workspace: dict[str, _Bucket] = {}
        self._spent_by_host: dict[str, dict[str, float]] = {}

    def admit(
        self, workspace: str, quota: Quota, cost: float, hosts: HostCounts, now: float
    ) -> Admit | Reject:
        """Admit or reject a request that costs ``cost`` tokens or requests."""
        quota = self._tolerance.enforced_quota(quota)
        bucket = self._refill(workspace, quota, hosts, now)
        unreachable = 1.0 - hosts.reachable / hosts.total
        reserve = quota.burst * max(MIN_SHARED_FILL, unreachable)
        is_above_reserve = bucket.level - cost >= reserve
        if not is_above_reserve and bucket.share_level <= 0:
            missing = -bucket.share_level + cost / hosts.total
            wait = missing * hosts.total / quota.rate_per_second
            return Reject(retry_at=now + wait)
        if not is_above_reserve:
            bucket.share_level -= cost
        bucket.level -= cost
        bucket.spent += cost
        return Admit()

    def spent(self) -> dict[str, float]:
        """Return the cost of all requests admitted since the start, by workspace."""
        return {w: b.spent for w, b in self._buckets_by_workspace.items()}

    def observe(self, host: str, spent_by_workspace: Mapping[str, float]) -> None:
        """Subtract what another host admitted, from its cumulative counts.

        ``host`` identifies the host's incarnation. Its first report only sets the
        baseline, since the counts may be old. In later reports the full count of a
        workspace that is new in them is subtracted.
        """
        previous = self._spent_by_host.get(host)
        self._spent_by_host[host] = dict(spent_by_workspace)
        if previous is None:
            return
        for workspace, spent in spent_by_workspace.items():
            bucket = self._buckets_by_workspace.get(workspace)
            if bucket is not None:
                bucket.level -= max(0.0, spent - previous.get(workspace, 0.0))

    def forget(self, host: str) -> None:
        """Drop the counts of an incarnation that has ended."""
        self._spent_by_host.pop(host, None)

    def _refill(
        self, workspace: str, quota: Quota, hosts: HostCounts, now: float
    ) -> _Bucket:
        share_rate = quota.rate_per_second / hosts.total
        max_share = share_rate * MAX_SHARE_SECONDS
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            share = max_share if self._initial_fill else 0.0
            bucket = _Bucket(quota.burst * self._initial_fill, share, now)
            self._buckets_by_workspace[workspace] = bucket
        elapsed = max(0.0, now - bucket.updated_at)
        reachable_rate = quota.rate_per_second * hosts.reachable / hosts.total
        bucket.level = min(quota.burst, bucket.level + reachable_rate * elapsed)
        bucket.share_level = min(max_share, bucket.share_level + share_rate * elapsed)
        bucket.updated_at = now
        return bucket
