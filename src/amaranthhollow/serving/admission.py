"""Decides whether a request may go on, from the configuration in force."""

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

__all__ = ["Admission", "Admitted", "AdmissionBounds", "Refused"]

UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503

# A refusal by route or key is final for the client, so it needs a configuration
# that was the newest within two read intervals and an exchange.
REFUSAL_FRESH_SECONDS = 2.0
# Another host, or this one after its next read, can serve by then.
CONFIGURATION_RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class AdmissionBounds:
    """``key_fresh_seconds`` is how old the proof of the newest keys may be."""

    key_fresh_seconds: float


@dataclass(frozen=True)
class Admitted:
    """A request that may go on.

    ``deadline`` is the earlier of the client's and the route's; ``priority`` 0 goes
    first; ``version`` is that of the configuration that decided.
    """

    route: Route
    service: str
    workspace: SiteWorkspace | None
    deadline: float
    priority: int
    version: int


@dataclass(frozen=True)
class Refused:
    """A request that is answered at once with ``status``; it has not run."""

    status: int
    reason: str
    retry_after_seconds: float | None = None
    workspace: str | None = None


class Admission:
    """Checks route, key and quota of each request."""

    def __init__(
        self,
        site: SiteState,
        quotas: QuotaLimiter,
        hosts: Callable[[], HostCounts],
        bounds: AdmissionBounds,
        choose_point: Callable[[], float],
    ) -> None:
        """``choose_point`` returns a point in 0 to 1 that splits a route."""
        self._site = site
        self._quotas = quotas
        self._hosts = hosts
        self._bounds = bounds
        self._choose_point = choose_point

    def decide(self, request: CallerRequest, now: float) -> Admitted | Refused:
        """Admit or refuse a request that has just been read."""
        configuration = self._site.configuration
        if configuration is None:
            return Refused(
                UNAVAILABLE, "no configuration yet", CONFIGURATION_RETRY_SECONDS
            )
        route = configuration.find_route(request.hostname, request.path)
        if route is None:
            return self._refuse_finally(NOT_FOUND, "no route", now)
        workspace = None
        if configuration.workspaces_by_name and not route.is_public:
            found = self._workspace_of(configuration, request, now)
            if isinstance(found, Refused):
                return found
            workspace = found
        refused = self._check_quota(workspace, request, now)
        if refused is not None:
            return refused
        deadline = request.arrived_at + route.timeout_seconds
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        has_priority = workspace is not None and workspace.priority is not None
        return Admitted(
            route=route,
            service=route.service_for(self._choose_point()),
            workspace=workspace,
            deadline=deadline,
            priority=workspace.priority if has_priority else route.priority,
            version=configuration.version,
        )

    def _workspace_of(
        self, configuration: SiteConfiguration, request: CallerRequest, now: float
    ) -> SiteWorkspace | Refused:
        age = self._site.configuration_proof.age(now)
        if age > self._bounds.key_fresh_seconds:
            return Refused(
                UNAVAILABLE, "keys may be outdated", CONFIGURATION_RETRY_SECONDS
            )
        workspace = configuration.workspaces_by_key.get(request.key or "")
        if workspace is None:
            return self._refuse_finally(UNAUTHORIZED, "unknown key", now)
        return workspace

    def _refuse_finally(self, status: int, reason: str, now: float) -> Refused:
        """Refuse by a configuration that is known to be in force, else as not run."""
        if self._site.configuration_proof.age(now) > REFUSAL_FRESH_SECONDS:
            retry = CONFIGURATION_RETRY_SECONDS
            return Refused(UNAVAILABLE, f"{reason}, may be outdated", retry)
        return Refused(status, reason)

    def _check_quota(
        self, workspace: SiteWorkspace | None, request: CallerRequest, now: float
    ) -> Refused | None:
        if workspace is None or workspace.quota is None:
            return None
        quota = workspace.quota
        cost = 1.0
        if quota.counts_tokens:
            tokens = request.prompt_tokens + request.output_tokens
            cost = float(tokens or quota.plain_tokens)
        hosts = self._hosts()
        decision = self._quotas.admit(workspace.name, quota, cost, hosts, now)
        if isinstance(decision, Reject):
            wait = decision.retry_at - now
            return Refused(TOO_MANY_REQUESTS, "over quota", wait, workspace.name)
        return None
