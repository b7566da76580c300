"""Enforces a workspace's quota over all hosts, with no message per request.

Every host keeps the same token bucket and takes from it what it admits itself at
once, and what the others admitted when their cumulative counts arrive. Close to the
bottom the others' counts come too late, so a host then spends only its own share of
the rate. Hosts that are not heard of are taken to spend their share.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Admit, Reject

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthhollow.decisions.site import Quota

__all__ = ["HostCounts", "QuotaLimiter", "QuotaTolerance"]

# Part of the burst that is there when the whole system starts for the first time.
FIRST_LEVEL = 0.5
# Above this part of the burst, what other hosts admit within one exchange fits.
SHARED_LEVEL = 0.5
# How much of its own share a host may save up.
SHARE_SECONDS = 0.5


@dataclass(frozen=True)
class QuotaTolerance:
    """What the operators allow beyond a quota, as a part of it.

    What is refused below that is lost to its callers. What they allow besides in each
    window is for what hosts admit before they hear of each other.
    """

    excess_ratio: float = 0.0

    def enforced_quota(self, quota: Quota) -> Quota:
        """Return the quota that all hosts together keep to."""
        return replace(
            quota,
            rate_per_second=quota.rate_per_second * (1 + self.excess_ratio),
            burst=quota.burst * (1 + self.excess_ratio),
        )


@dataclass(frozen=True)
class HostCounts:
    """How many hosts share the quotas, and how many of them are heard of now."""

    known: int = 1
    reachable: int = 1


@dataclass
class _Bucket:
    level: float
    share_level: float
    updated_at: float
    spent: float = 0.0


class QuotaLimiter:
    """The quotas of all workspaces at one host."""

    def __init__(
        self,
        tolerance: QuotaTolerance | None = None,
        *,
        starts_empty: bool = False,
    ) -> None:
        """Start with no workspace known; without a tolerance, quotas are exact.

        A host that starts again does not know what was spent a moment ago, and
        ``starts_empty``.
        """
        self._tolerance = tolerance or QuotaTolerance()
        self._first_level = 0.0 if starts_empty else FIRST_LEVEL
        self._buckets_by_workspace: dict[str, _Bucket] = {}
        self._spent_by_host: dict[str, dict[str, float]] = {}

    def admit(
        self, workspace: str, quota: Quota, cost: float, hosts: HostCounts, now: float
    ) -> Admit | Reject:
        """Decide on a request of ``cost`` tokens or requests."""
        quota = self._tolerance.enforced_quota(quota)
        bucket = self._refilled(workspace, quota, hosts, now)
        unheard = 1.0 - hosts.reachable / hosts.known
        reserve = quota.burst * max(SHARED_LEVEL, unheard)
        is_plenty = bucket.level - cost >= reserve
        if not is_plenty and bucket.share_level <= 0:
            missing = -bucket.share_level + cost / hosts.known
            wait = missing * hosts.known / quota.rate_per_second
            return Reject(retry_at=now + wait)
        if not is_plenty:
            bucket.share_level -= cost
        bucket.level -= cost
        bucket.spent += cost
        return Admit()

    def spent(self) -> dict[str, float]:
        """Return what this host has admitted since its start, by workspace."""
        return {w: b.spent for w, b in self._buckets_by_workspace.items()}

    def observe(self, host: str, spent_by_workspace: Mapping[str, float]) -> None:
        """Take in another host's cumulative counts; ``host`` names its incarnation.

        The first report of a host says nothing of when it was spent; later ones do,
        also of workspaces that they name for the first time.
        """
        known = self._spent_by_host.get(host)
        self._spent_by_host[host] = dict(spent_by_workspace)
        if known is None:
            return
        for workspace, spent in spent_by_workspace.items():
            bucket = self._buckets_by_workspace.get(workspace)
            if bucket is not None:
                bucket.level -= max(0.0, spent - known.get(workspace, 0.0))

    def forget(self, host: str) -> None:
        """Forget a process that is gone."""
        self._spent_by_host.pop(host, None)

    def _refilled(
        self, workspace: str, quota: Quota, hosts: HostCounts, now: float
    ) -> _Bucket:
        share_rate = quota.rate_per_second / hosts.known
        most = share_rate * SHARE_SECONDS
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            share = most if self._first_level else 0.0
            bucket = _Bucket(quota.burst * self._first_level, share, now)
            self._buckets_by_workspace[workspace] = bucket
        elapsed = max(0.0, now - bucket.updated_at)
        heard_rate = quota.rate_per_second * hosts.reachable / hosts.known
        bucket.level = min(quota.burst, bucket.level + heard_rate * elapsed)
        bucket.share_level = min(most, bucket.share_level + share_rate * elapsed)
        bucket.updated_at = now
        return bucket
