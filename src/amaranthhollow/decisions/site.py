"""The configuration of a site: routes, services, workspaces and limits."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "Quota",
    "RequestLimits",
    "Route",
    "RouteKind",
    "ScalingBounds",
    "Service",
    "WeightedService",
    "SiteConfiguration",
    "SiteWorkspace",
]


class RouteKind(Enum):
    """How to treat a request whose outcome is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class WeightedService:
    """A service of a route, with the weight of its part of the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """The services and limits for requests of a hostname and path prefix.

    ``timeout_seconds`` bounds a request from its arrival;
    ``latency_target_seconds`` is the longest time to the response, or to the first
    event of a stream, that counts as on time. ``priority`` 0 is the highest.
    """

    name: str
    hostname: str
    prefix: str
    kind: RouteKind
    timeout_seconds: float
    latency_target_seconds: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool = False
    may_resume: bool = False
    max_gap_seconds: float | None = None

    @property
    def may_retry_unknown(self) -> bool:
        """Whether a request may run again when its outcome is unknown."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.may_resume
        )

    def service_for(self, point: float) -> str:
        """Return the service at ``point`` (0 to 1) of the cumulative weights."""
        total = sum(share.weight for share in self.services)
        remaining = point * total
        for share in self.services:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.services[-1].service


@dataclass(frozen=True)
class ScalingBounds:
    """How many engines a service may have in each data centre, and their price.

    Prices are per engine and second; ``reclaimable_price`` is the factor for engines
    that may be reclaimed. An engine takes ``start_seconds`` to start.
    """

    min_engines: int
    max_engines: int
    start_seconds: float
    reclaimable_price: float
    price_by_data_centre: Mapping[str, float]


@dataclass(frozen=True)
class Service:
    """A group of interchangeable endpoints.

    With ``shares_cache``, an endpoint can fetch cached parts of a prompt from another.
    """

    name: str
    max_connections: int
    cache_tokens: int = 0
    shares_cache: bool = False
    scaling: ScalingBounds | None = None


@dataclass(frozen=True)
class Quota:
    """The rate and burst that a workspace may use over all hosts together.

    Both count tokens if ``counts_tokens``, else requests. A request that does not
    declare its tokens counts as ``plain_tokens``.
    """

    rate_per_second: float
    burst: float
    counts_tokens: bool
    plain_tokens: int

    @classmethod
    def of_requests(cls, rate_per_second: float) -> Quota:
        """Return a quota of requests whose burst is the rate of one second."""
        return cls(rate_per_second, rate_per_second, False, 0)


@dataclass(frozen=True)
class SiteWorkspace:
    """A customer with its API keys; ``priority`` overrides that of the route."""

    name: str
    keys: frozenset[str]
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True)
class RequestLimits:
    """Limits on the size of a caller's requests and on its connection's timing."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_seconds: float = 3.0
    idle_timeout_seconds: float = 15.0


@dataclass(frozen=True)
class SiteConfiguration:
    """One version of the configuration that operators maintain for a site."""

    version: int
    routes: tuple[Route, ...] = ()
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    workspaces_by_name: Mapping[str, SiteWorkspace] = field(default_factory=dict)
    limits: RequestLimits = field(default_factory=RequestLimits)

    @cached_property
    def routes_by_hostname(self) -> Mapping[str, tuple[Route, ...]]:
        """The routes of each hostname, the longest prefix first."""
        by_hostname: dict[str, list[Route]] = {}
        for route in self.routes:
            by_hostname.setdefault(route.hostname, []).append(route)
        return {
            hostname: tuple(sorted(routes, key=lambda r: -len(r.prefix)))
            for hostname, routes in by_hostname.items()
        }

    @cached_property
    def workspaces_by_key(self) -> Mapping[str, SiteWorkspace]:
        """The workspace of each API key."""
        return {
            key: workspace
            for workspace in self.workspaces_by_name.values()
            for key in workspace.keys
        }

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``."""
        for route in self.routes_by_hostname.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None
