"""Admission control of requests by route, API key and quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Reject

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter
    from amaranthhollow.decisions.site import Route, SiteConfiguration, SiteWorkspace
    from amaranthhollow.serving.request import CallerRequest
    from amaranthhollow.state.site_state import SiteState

__all__ = ["Admission", "Admitted", "AdmissionLimits", "Rejected"]

UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503

# Callers treat a rejection by route or key as final, so it needs a configuration that
# was confirmed as the newest within two read intervals and one exchange with a peer.
REJECTION_MAX_AGE_SECONDS = 2.0
# By then this host has read the configuration again, or another host can serve.
CONFIGURATION_RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class AdmissionLimits:
    """Limits on the state that admission relies on.

    ``max_key_age_seconds`` is the longest time since the configuration with the API
    keys was confirmed as the newest.
    """

    max_key_age_seconds: float


@dataclass(frozen=True)
class Admitted:
    """An admitted request.

    ``deadline`` is the earlier of the caller's and the route's; ``priority`` 0 is
    the highest; ``configuration_version`` is the configuration that it was checked
    against.
    """

    route: Route
    service: str
    workspace: SiteWorkspace | None
    deadline: float
    priority: int
    configuration_version: int


@dataclass(frozen=True)
class Rejected:
    """A request that gets a response with ``status`` without being forwarded."""

    status: int
    reason: str
    retry_after_seconds: float | None = None
    workspace: str | None = None


class Admission:
    """Checks the route, API key and quota of each request."""

    def __init__(
        self,
        site: SiteState,
        quotas: QuotaLimiter,
        host_counts: Callable[[], HostCounts],
        limits: AdmissionLimits,
        draw_fraction: Callable[[], float],
    ) -> None:
        """Check requests against the configuration in ``site``.

        ``draw_fraction`` returns a number from 0 to 1 that selects one of the
        services among which a route is split.
        """
        self._site = site
        self._quotas = quotas
        self._host_counts = host_counts
        self._limits = limits
        self._draw_fraction = draw_fraction

    def decide(self, request: CallerRequest, now: float) -> Admitted | Rejected:
        """Admit or reject a request that was read at ``now``."""
        configuration = self._site.configuration
        if configuration is None:
            return Rejected(
                UNAVAILABLE, "no configuration yet", CONFIGURATION_RETRY_SECONDS
            )
        route = configuration.find_route(request.hostname, request.path)
        if route is None:
            return self._reject_if_current(NOT_FOUND, "no route", now)
        workspace = None
        if configuration.workspaces_by_name and not route.is_public:
            found = self._workspace_of(configuration, request, now)
            if isinstance(found, Rejected):
                return found
            workspace = found
        rejected = self._check_quota(workspace, request, now)
        if rejected is not None:
            return rejected
        deadline = request.arrived_at + route.timeout_seconds
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        has_priority = workspace is not None and workspace.priority is not None
        return Admitted(
            route=route,
            service=route.service_for(self._draw_fraction()),
            workspace=workspace,
            deadline=deadline,
            priority=workspace.priority if has_priority else route.priority,
            configuration_version=configuration.version,
        )

    def _workspace_of(
        self, configuration: SiteConfiguration, request: CallerRequest, now: float
    ) -> SiteWorkspace | Rejected:
        age = self._site.configuration_freshness.age(now)
        if age > self._limits.max_key_age_seconds:
            return Rejected(
                UNAVAILABLE, "keys may be outdated", CONFIGURATION_RETRY_SECONDS
            )
        workspace = configuration.workspaces_by_key.get(request.api_key or "")
        if workspace is None:
            return self._reject_if_current(UNAUTHORIZED, "unknown key", now)
        return workspace

    def _reject_if_current(self, status: int, reason: str, now: float) -> Rejected:
        """Reject with ``status`` if the configuration is known to be current.

        Otherwise the response is 503, which the caller may retry.
        """
        if self._site.configuration_freshness.age(now) > REJECTION_MAX_AGE_SECONDS:
            retry = CONFIGURATION_RETRY_SECONDS
            return Rejected(UNAVAILABLE, f"{reason}, may be outdated", retry)
        return Rejected(status, reason)

    def _check_quota(
        self, workspace: SiteWorkspace | None, request: CallerRequest, now: float
    ) -> Rejected | None:
        if workspace is None or workspace.quota is None:
            return None
        quota = workspace.quota
        cost = 1.0
        if quota.counts_tokens:
            tokens = request.prompt_tokens + request.output_tokens
            cost = float(tokens or quota.plain_tokens)
        host_counts = self._host_counts()
        decision = self._quotas.admit(workspace.name, quota, cost, host_counts, now)
        if isinstance(decision, Reject):
            wait = decision.retry_at - now
            return Rejected(TOO_MANY_REQUESTS, "over quota", wait, workspace.name)
        return None
