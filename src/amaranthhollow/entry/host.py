"""What the parts of one daemon share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from random import Random

    from amaranthhollow.decisions.choice import EndpointChooser
    from amaranthhollow.decisions.duties import DutyState
    from amaranthhollow.decisions.membership import Membership
    from amaranthhollow.decisions.site_clock import SiteClock
    from amaranthhollow.decisions.usage import UsageCounts
    from amaranthhollow.entry.crash_watch import CrashWatch
    from amaranthhollow.entry.metrics import Metrics
    from amaranthhollow.entry.settings import EntrySettings
    from amaranthhollow.platform.store import StoreClient
    from amaranthhollow.state.site_state import SiteState

__all__ = ["Host"]


@dataclass
class Host:
    """The state of one daemon; each part uses what it needs."""

    settings: EntrySettings
    incarnation: int
    site: SiteState
    membership: Membership
    chooser: EndpointChooser
    usage: UsageCounts
    store: StoreClient
    metrics: Metrics
    random: Random
    duty: DutyState
    crashes: CrashWatch
    clock: SiteClock
    quotas: QuotaLimiter = field(default_factory=QuotaLimiter)
    budgets_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    usage_by_process: dict[str, dict[int, dict[str, int]]] = field(default_factory=dict)
    host_counts: HostCounts = field(default_factory=HostCounts)
    reachable_hosts: tuple[str, ...] = ()
    is_draining: bool = False

    @property
    def name(self) -> str:
        """The name of the host."""
        return self.settings.host

    def wall_time(self) -> float:
        """Return the time of day that the hosts agree on, since 1970 in seconds."""
        return self.clock.wall_time(now())

    @property
    def process(self) -> str:
        """The name of this process: of the host and of its start."""
        return f"{self.name}@{self.incarnation}"

    @property
    def rank(self) -> int:
        """The position of this host among those that hear of each other."""
        return sorted({*self.reachable_hosts, self.name}).index(self.name)

    def budget(self, service: str) -> RetryBudget:
        """Return the budget of repeated sends to a service."""
        budget = self.budgets_by_service.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window
            )
            self.budgets_by_service[service] = budget
        return budget
