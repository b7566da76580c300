"""State and clients that the parts of one daemon share."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.endpoints import EndpointTable
from amaranthhollow.decisions.limits import FairShare
from amaranthhollow.decisions.quarantine import Quarantine
from amaranthhollow.decisions.quota import QuotaLimiter
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.decisions.statechart import load_chart
from amaranthhollow.decisions.suspect_slots import SuspectSlots

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

# Retries that all daemons together may send in a window: a ratio of the requests, and
# a constant number in addition. They are half of what the platform allows; the other
# half is left for the callers' own retries.
RETRY_RATIO = 0.1
RETRY_SLACK = 50.0
RETRY_WINDOW_SECONDS = 10.0


@dataclass
class Node:
    """State and clients of one daemon."""

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
    lifecycle: str = load_chart("daemon").initial_state
    open_requests: int = 0
    requests_by_state: Counter[str] = field(default_factory=Counter)
    claim_sequence: int = 0

    @property
    def configuration(self) -> Configuration:
        """The configuration in force at this daemon."""
        return self.applied.configuration

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests to this daemon."""
        return self.lifecycle == "ready"

    @property
    def host_count(self) -> int:
        """Number of daemons that share the budgets and quotas."""
        return max(1, len(self.membership.active_hosts))

    def now(self) -> float:
        """Return the current time in seconds since the Unix epoch."""
        return time.time()

    def advance(self, event: str) -> bool:
        """Apply ``event`` to the lifecycle; return False if it does not accept it."""
        chart = load_chart("daemon")
        if not chart.accepts(self.lifecycle, event):
            return False
        self.lifecycle = chart.advance(self.lifecycle, event)
        return True

    def usable_endpoints(self, deployment: str) -> list[Endpoint]:
        """Return the usable endpoints of a deployment, with its configured slots."""
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
        """Return the sharing of a deployment's slots among workspaces."""
        return self.shares_by_deployment.setdefault(deployment, FairShare())

    def next_claim_id(self) -> str:
        """Return a unique claim identifier."""
        self.claim_sequence += 1
        return f"{self.settings.host}-{self.incarnation}-{self.claim_sequence}"

    def retry_after_seconds(self, delay_seconds: float) -> int:
        """Return a randomized Retry-After, so that callers do not retry in unison."""
        spread = self.random.uniform(0, max(1.0, delay_seconds))
        return max(1, round(delay_seconds + spread))

    def retry_budget(self, deployment: str) -> RetryBudget:
        """Return the retry budget of a deployment."""
        return self.budgets_by_deployment.setdefault(
            deployment,
            RetryBudget(RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS),
        )

    def try_spend_retry(self, deployment: str) -> bool:
        """Spend one retry of a deployment's budget, if the budget allows it."""
        budget = self.retry_budget(deployment)
        is_allowed = budget.try_spend(self.host_count, self.now())
        self.counters.increment("retries.sent" if is_allowed else "retries.refused")
        return is_allowed
