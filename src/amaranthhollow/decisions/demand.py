"""Estimates from samples how many engines are needed to read prompts in time."""

from __future__ import annotations

from dataclasses import dataclass, replace
from math import ceil, exp
from operator import attrgetter

__all__ = ["DemandEstimate", "ServiceDemand"]

# With half of the engines busy, a request waits about as long as reading it takes.
TARGET_UTILIZATION = 0.45
# On-demand engines cost several times as much and are only used for a short time, so
# they run at a higher utilization.
ON_DEMAND_TARGET_UTILIZATION = 0.8
RISE_TIME_CONSTANT_SECONDS = 1.0
FALL_TIME_CONSTANT_SECONDS = 10.0
# Engines that were started together are listed one after another, with pauses of up to
# a heartbeat of 1.2 s.
SETTLING_SECONDS = 2.5
# The estimate has risen to 95% of the demand by then.
MIN_WATCH_SECONDS = 3 * RISE_TIME_CONSTANT_SECONDS
# Without the speed of the engines, a backlog counts for too little.
MAX_WATCH_SECONDS = FALL_TIME_CONSTANT_SECONDS


@dataclass(frozen=True)
class DemandEstimate:
    """An exponential moving average of samples that rises fast and falls slowly.

    It remains where it started until the first traffic is observed (``has_traffic``).
    """

    busy: float
    sampled_at: float
    has_traffic: bool = False

    @classmethod
    def from_engines(cls, engines: int, now: float) -> DemandEstimate:
        """Return the estimate that needs exactly ``engines`` engines."""
        return cls(engines * TARGET_UTILIZATION, now)

    def with_sample(self, busy: float, now: float) -> DemandEstimate:
        """Return the estimate after another sample."""
        has_traffic = self.has_traffic or busy > 0
        if not has_traffic:
            return replace(self, sampled_at=now)
        elapsed = max(0.0, now - self.sampled_at)
        time_constant = (
            RISE_TIME_CONSTANT_SECONDS
            if busy > self.busy
            else FALL_TIME_CONSTANT_SECONDS
        )
        weight = 1.0 - exp(-elapsed / time_constant)
        return DemandEstimate(self.busy + weight * (busy - self.busy), now, True)

    @property
    def needed_engines(self) -> int:
        """The number of engines that keeps the wait of requests short."""
        return ceil(self.busy / TARGET_UTILIZATION)

    @property
    def needed_with_on_demand(self) -> int:
        """The number of engines that suffices while on-demand ones are in use."""
        return ceil(self.busy / ON_DEMAND_TARGET_UTILIZATION)


@dataclass(frozen=True)
class ServiceDemand:
    """The demand for the engines of one service, as observed since this process began.

    Before any traffic it is what the engines that the operator started can serve. They
    are listed one after another, so there is no ``estimate`` before ``settles_at``,
    when all of them are, unless traffic comes first. Example::

        demand = ServiceDemand().with_sample(engines=13, busy=0.0, now=0.0)
        demand = demand.with_sample(engines=78, busy=0.0, now=1.0)
        demand = demand.with_sample(engines=78, busy=0.0, now=3.5)
        demand.estimate.needed_engines  # 78
    """

    estimate: DemandEstimate | None = None
    engines: int = 0
    settles_at: float = 0.0
    watched_since: float | None = None

    def inherit(self, busy: float, now: float) -> ServiceDemand:
        """Return the demand with what the previous holder of the duties observed.

        It takes the place of what the listed engines suggest, but not of a higher
        demand that this process has observed itself.
        """
        estimate = DemandEstimate(busy, now, has_traffic=True)
        own = self.estimate
        if own is not None and own.has_traffic and own.busy >= busy:
            return self
        return replace(
            self, estimate=estimate, engines=max(1, self.engines), settles_at=now
        )

    def is_watched(self, now: float, *, knows_speed: bool) -> bool:
        """Return whether this process has observed traffic for long enough.

        Until then its estimate may be far below the demand. ``knows_speed`` is whether
        it knows how fast the engines read.
        """
        if self.watched_since is None:
            return False
        seconds = MIN_WATCH_SECONDS if knows_speed else MAX_WATCH_SECONDS
        return now >= self.watched_since + seconds

    def with_sample(self, engines: int, busy: float, now: float) -> ServiceDemand:
        """Return the demand after a sample.

        ``engines`` were listed at that time, and ``busy`` of them had work. Those that
        the system has ordered as a reserve don't count.
        """
        state = self._with_engines(engines, now)
        if busy > 0.0 and state.watched_since is None:
            state = replace(state, watched_since=now)
        if state.engines == 0:
            return state
        is_settling = now < state.settles_at
        if is_settling and busy <= 0.0 and state.estimate is None:
            return state
        estimate = state.estimate
        if estimate is None or is_settling or not estimate.has_traffic:
            initial = DemandEstimate.from_engines(engines, now)
            estimate = max(initial, estimate or initial, key=attrgetter("busy"))
        return replace(state, estimate=estimate.with_sample(busy, now))

    def _with_engines(self, engines: int, now: float) -> ServiceDemand:
        is_settled = self.engines > 0 and now >= self.settles_at
        if is_settled or engines <= self.engines:
            return self
        return replace(self, engines=engines, settles_at=now + SETTLING_SECONDS)
