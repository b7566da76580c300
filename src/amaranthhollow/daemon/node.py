"""What one daemon knows and shares among its parts."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.endpoints import EndpointTable
from amaranthhollow.decisions.limits import FairShare
from amaranthhollow.decisions.quarantine import Quarantine, SuspectSlots
from amaranthhollow.decisions.quota import QuotaLimiter
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.decisions.statechart import load_chart

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from random import Random

    from amaranthhollow.configuration.model import Configuration
    from amaranthhollow.daemon.counters import Counters
    from amaranthhollow.decisions.choice import EndpointChooser
    from amaranthhollow.decisions.configuration import AppliedConfiguration
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.membership import Membership
    from amaranthhollow.decisions.prompts import PromptShape
    from amaranthhollow.endpoints.engine import EngineClient
    from amaranthhollow.endpoints.service import ServiceClient
    from amaranthhollow.peers.claim_router import ClaimRouter
    from amaranthhollow.peers.links import PeerLinks
    from amaranthhollow.platform.store import StoreClient
    from amaranthhollow.settings.model import DaemonSettings
    from amaranthhollow.state.claim_store import ClaimStore
    from amaranthhollow.state.host_list import HostListClient

__all__ = ["Node"]

# Retries of all daemons in a window, for each request and besides: what the platform
# allows on today's sites (system page, bounds), less half for callers' own retries.
RETRY_RATIO = 0.1
RETRY_SLACK = 50.0
RETRY_WINDOW_SECONDS = 10.0


@dataclass
class Node:
    """The state and the clients of one daemon; each part uses what it needs."""

    settings: DaemonSettings
    incarnation: int
    membership: Membership
    counters: Counters
    claim_router: ClaimRouter
    claim_store: ClaimStore
    engines: EngineClient
    services: ServiceClient
    store: StoreClient
    host_list: HostListClient
    links: PeerLinks
    random: Random
    applied: AppliedConfiguration
    chooser: EndpointChooser
    endpoints: EndpointTable = field(default_factory=EndpointTable)
    quotas: QuotaLimiter = field(default_factory=QuotaLimiter)
    shares_by_deployment: dict[str, FairShare] = field(default_factory=dict)
    quarantine: Quarantine = field(default_factory=Quarantine)
    suspect_slots: SuspectSlots = field(default_factory=SuspectSlots)
    budgets_by_deployment: dict[str, RetryBudget] = field(default_factory=dict)
    publish_crash_evidence: Callable[[], None] = lambda: None
    lifecycle: str = load_chart("daemon").initial
    open_requests: int = 0
    requests_by_state: Counter[str] = field(default_factory=Counter)
    claim_sequence: int = 0

    @property
    def configuration(self) -> Configuration:
        """The configuration in force here."""
        return self.applied.configuration

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send callers here."""
        return self.lifecycle == "ready"

    @property
    def host_count(self) -> int:
        """How many daemons share the budgets and quotas."""
        return max(1, len(self.membership.active_hosts))

    def now(self) -> float:
        """Return the instant in seconds since the Unix epoch."""
        return time.time()

    def advance(self, event: str) -> bool:
        """Move the daemon's lifecycle if it accepts ``event``."""
        chart = load_chart("daemon")
        if not chart.accepts(self.lifecycle, event):
            return False
        self.lifecycle = chart.advance(self.lifecycle, event)
        return True

    def usable_endpoints(self, deployment: str) -> list[Endpoint]:
        """Return the endpoints of a deployment, with the slots that it gives them."""
        slots = self.configuration.slots_of(deployment)
        return [
            replace(e, listed=msgspec.structs.replace(e.listed, slots=slots))
            for e in self.endpoints.usable(deployment, self.now())
        ]

    def choose(
        self, deployment: str, prompt: PromptShape | None, tried: Collection[str]
    ) -> Endpoint | None:
        """Choose an endpoint of a deployment that is not in ``tried``, or None."""
        usable = self.usable_endpoints(deployment)
        return self.chooser.choose(usable, prompt, tried, self.now())

    def fair_share(self, deployment: str) -> FairShare:
        """Return how a deployment's slots are shared among workspaces."""
        return self.shares_by_deployment.setdefault(deployment, FairShare())

    def next_claim_id(self) -> str:
        """Return an identifier that no other claim has."""
        self.claim_sequence += 1
        return f"{self.settings.host}-{self.incarnation}-{self.claim_sequence}"

    def retry_after_seconds(self, delay_seconds: float) -> int:
        """Return a Retry-After that spreads callers who come back together."""
        spread = self.random.uniform(0, max(1.0, delay_seconds))
        return max(1, round(delay_seconds + spread))

    def retry_budget(self, deployment: str) -> RetryBudget:
        """Return the budget of repeated sends to a deployment."""
        return self.budgets_by_deployment.setdefault(
            deployment,
            RetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS),
        )

    def try_spend_retry(self, deployment: str) -> bool:
        """Take one retry from a deployment's budget, if there is room."""
        budget = self.retry_budget(deployment)
        is_allowed = budget.try_spend(self.host_count, self.now())
        self.counters.increment("retries.sent" if is_allowed else "retries.refused")
        return is_allowed
