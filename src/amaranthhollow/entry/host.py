"""The state that the components of one daemon share."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.endpoint_links import RelayPeer, preferred_relays
from amaranthhollow.decisions.peer_protocols import PeerProtocols
from amaranthhollow.decisions.prompt_times import PromptTimes
from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from random import Random

    from amaranthhollow.decisions.choice import EndpointChooser
    from amaranthhollow.decisions.duties import DutyState
    from amaranthhollow.decisions.membership import Membership
    from amaranthhollow.decisions.scaling_state import ScalingState
    from amaranthhollow.decisions.site_clock import SiteClock
    from amaranthhollow.decisions.usage import UsageCounts
    from amaranthhollow.entry.crash_detector import CrashDetector
    from amaranthhollow.entry.metrics import Metrics
    from amaranthhollow.entry.settings import EntrySettings
    from amaranthhollow.peers.endpoint_dialer import EndpointDialer
    from amaranthhollow.platform.store import StoreClient
    from amaranthhollow.state.site_state import SiteState

__all__ = ["Host"]

log = logbook.Logger("host")


@dataclass
class Host:
    """The shared state of the daemon on one entry host.

    ``expected_hosts`` shared the quotas before this one started; it has yet to hear of
    them. ``sharing_hosts`` are the hosts among which the limits of endpoints are
    divided, including this one; empty until all of them can know of it.
    ``reachable_hosts`` are the other hosts with recent reports, by name. What one host
    knows reaches the others within ``spread_seconds``. ``can_relay_by_peer`` is whether
    peers report that they relay connections to endpoints, and ``can_read_by_peer``
    whether the store responds to them, as to this one if it ``can_read``.
    ``scaling_by_service`` is what the holder of the duties last published or stored.
    """

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
    crash_detector: CrashDetector
    clock: SiteClock
    dialer: EndpointDialer
    quotas: QuotaLimiter = field(default_factory=QuotaLimiter)
    retry_budgets_by_service: dict[str, RetryBudget] = field(default_factory=dict)
    prompt_times_by_service: dict[str, PromptTimes] = field(default_factory=dict)
    usage_by_process: dict[str, dict[int, dict[str, int]]] = field(default_factory=dict)
    scaling_by_service: dict[str, ScalingState] = field(default_factory=dict)
    host_counts: HostCounts = field(default_factory=HostCounts)
    expected_hosts: int = 0
    protocols: PeerProtocols = field(default_factory=PeerProtocols)
    can_relay_by_peer: dict[str, bool] = field(default_factory=dict)
    can_read_by_peer: dict[str, bool] = field(default_factory=dict)
    can_read: bool = True
    reachable_hosts: tuple[str, ...] = ()
    sharing_hosts: tuple[str, ...] = ()
    spread_seconds: float = 0.0
    is_draining: bool = False
    store_restored_at: float | None = None

    @property
    def name(self) -> str:
        """The name of the host."""
        return self.settings.host

    def wall_time(self) -> float:
        """Return the time that the hosts agree on, in seconds since the Unix epoch."""
        return self.clock.wall_time(now())

    def store_restored(self, previous_era: int, era: int) -> None:
        """Give up what the store has lost by returning from an older copy."""
        instant = now()
        self.store_restored_at = instant
        held_lease = self.duty.held_lease
        self.duty = self.duty.store_restored(instant)
        self.site.store_restored(instant)
        log.warning(
            "store restored from an older copy",
            extra={
                "previous_era": previous_era,
                "previous_revision": self.site.snapshot.revision,
                "era": era,
                "held_duties": held_lease is not None,
                "duties_from": round(self.duty.contends_at - instant, 2),
            },
        )

    def adopt_scaling_state(self, service: str, state: ScalingState) -> None:
        """Keep what a holder of the duties knew of a service, unless it is older."""
        known = self.scaling_by_service.get(service)
        if known is None or known.observed_at < state.observed_at:
            self.scaling_by_service[service] = state

    def expect_hosts(self, count: int) -> None:
        """Share the quotas among that many hosts until they have been heard of."""
        self.expected_hosts = count
        total = max(self.host_counts.total, count)
        self.host_counts = replace(self.host_counts, total=total)

    @property
    def process_id(self) -> str:
        """The host's name and incarnation, which identify this run of the daemon."""
        return f"{self.name}@{self.incarnation}"

    @property
    def rank(self) -> int:
        """The position of this host's name among those of all reachable hosts.

        A host to which the store responds does not count those to which it does not.
        """
        position = bisect_left(self.reachable_hosts, self.name)
        if not self.can_read:
            return position
        lower = self.reachable_hosts[:position]
        return sum(self.can_read_by_peer.get(name, True) for name in lower)

    @property
    def can_relay(self) -> bool:
        """Whether peers may connect to endpoints through this host."""
        return self.dialer.has_links and not self.is_draining

    def can_relay_to(self, endpoint: str) -> bool:
        """Return whether peers may connect to ``ADDRESS:PORT`` through this host."""
        return self.dialer.may_reach(endpoint) and not self.is_draining

    def relays(self) -> list[str]:
        """Return the addresses of peers that may relay connections to endpoints."""
        active = set(self.membership.active_hosts)
        peers = [
            RelayPeer(info.address, info.data_centre, self.can_relay_by_peer[name])
            for name in self.reachable_hosts
            if name in active
            and name in self.can_relay_by_peer
            and (info := self.membership.info(name)) is not None
        ]
        return preferred_relays(peers, self.settings.data_centre, self.random)

    def prompt_times(self, service: str) -> PromptTimes:
        """Return the times that the engines of a service took to read prompts."""
        return self.prompt_times_by_service.setdefault(service, PromptTimes())

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.retry_budgets_by_service.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window
            )
            self.retry_budgets_by_service[service] = budget
        return budget
