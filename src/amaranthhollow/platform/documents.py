"""Decoders of the operator's configuration and of endpoint entries in the store."""

from __future__ import annotations

from typing import Annotated

import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.endpoints import EndpointStatus, ListedEndpoint
from amaranthhollow.decisions.site import (
    Quota,
    RequestLimits,
    Route,
    RouteKind,
    ScalingBounds,
    Service,
    SiteConfiguration,
    SiteWorkspace,
    WeightedService,
)
from amaranthhollow.decoding import (
    Label,
    Milliseconds,
    Number,
    decode_json,
    is_host_address,
)

__all__ = ["decode_configuration", "decode_endpoint"]

KINDS_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
STATUSES_BY_NAME = {
    "ready": EndpointStatus.LIVE,
    "draining": EndpointStatus.LEAVING,
}
TOKEN_UNIT = "token_count"
# Above the number of requests that any endpoint runs at once.
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
# Of a duration in milliseconds, a rate or a price; far above all that are in use, and
# far below what timers and sums can hold.
MAX_SIZE = 1e12
MAX_RANK = 1_000_000

Size = Annotated[float, msgspec.Meta(ge=0, le=MAX_SIZE)]
Rank = Annotated[int, msgspec.Meta(ge=-MAX_RANK, le=MAX_RANK)]


class WireShare(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of a route's requests."""

    service: str = msgspec.field(name="backend")
    weight: Size


class WireRoute(msgspec.Struct, frozen=True):
    """A route in the operator's configuration."""

    name: str
    hostname: str
    prefix: str
    kind: str = msgspec.field(name="route_type")
    timeout_ms: Size
    target_latency_ms: Size = 0
    priority: Rank = 0
    service: str = msgspec.field(name="backend", default="")
    shares: list[WireShare] = msgspec.field(
        name="weighted_backends", default_factory=list
    )
    max_attempts: Rank = 1
    is_public: bool = msgspec.field(name="public", default=False)
    may_resume: bool = msgspec.field(name="stream_resume", default=False)
    max_gap_ms: Size | None = msgspec.field(name="gap_aim_ms", default=None)


class WireEngine(msgspec.Struct, frozen=True):
    """The engines of a service in the operator's configuration."""

    cache_tokens: Number = msgspec.field(name="kv_tokens", default=0)
    # Engines can copy cached tokens from each other, both of requests that move and
    # of prompts.
    shares_cache: bool = msgspec.field(name="moves", default=False)


class WireScaling(msgspec.Struct, frozen=True):
    """How many engines a service may have in each data centre, and their prices."""

    min_engines: Rank = msgspec.field(name="min_replicas", default=0)
    max_engines: Rank = msgspec.field(name="max_replicas", default=0)
    start_seconds: Size = msgspec.field(name="boot_s", default=0)
    # A factor on the price in the data centre, not a price.
    reclaimable_price: Size = msgspec.field(name="spot_price", default=1)
    price_by_data_centre: dict[str, Size] = msgspec.field(
        name="zone_prices", default_factory=dict
    )


class WireService(msgspec.Struct, frozen=True):
    """A service in the operator's configuration."""

    name: str
    max_connections: Number = 0
    engine: WireEngine | None = None
    scaling: WireScaling | None = msgspec.field(name="autoscale", default=None)


class WireWorkspace(msgspec.Struct, frozen=True):
    """A workspace in the operator's configuration."""

    name: str
    keys: list[str] = msgspec.field(name="api_keys", default_factory=list)
    priority: Rank | None = None
    unit: str = ""
    plain_tokens: Number = 0
    rate_per_s: Size = 0
    burst: Size = 0


class WireLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests and connections."""

    max_header_bytes: Number = 16_384
    max_body_bytes: Number = 4_194_304
    header_timeout_ms: Size = 3_000
    idle_timeout_ms: Size = 15_000


class WireConfiguration(msgspec.Struct, frozen=True):
    """The operator's configuration."""

    version: Number
    routes: list[WireRoute] = msgspec.field(default_factory=list)
    services: list[WireService] = msgspec.field(default_factory=list)
    workspaces: list[WireWorkspace] = msgspec.field(
        name="tenants", default_factory=list
    )
    limits: WireLimits = WireLimits()


class WireEndpoint(msgspec.Struct, frozen=True):
    """An entry that an endpoint writes to the store."""

    service: Label = msgspec.field(name="backend")
    address: Label
    data_centre: Label = msgspec.field(name="zone")
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Label
    # Start of the endpoint, in milliseconds since the Unix epoch.
    started_ms: Milliseconds = msgspec.field(name="born", default=0)
    is_reclaimable: bool = msgspec.field(name="spot", default=False)
    # Not a time: milliseconds from the write of the entry to the endpoint's reclaim.
    leaves_ms: float | None = None
    software_version: Label = msgspec.field(name="version", default="")


def decode_configuration(value: bytes) -> Result[SiteConfiguration, str]:
    """Return the configuration, or the reason why it cannot be decoded."""
    return decode_json(value, WireConfiguration).and_then(_configuration)


def _configuration(wire: WireConfiguration) -> Result[SiteConfiguration, str]:
    for route in wire.routes:
        if route.kind not in KINDS_BY_NAME:
            kinds = ", ".join(KINDS_BY_NAME)
            return Err(f"`route_type` of route {route.name!r:.200} is none of {kinds}")
    return Ok(
        SiteConfiguration(
            version=wire.version,
            routes=tuple(map(_route, wire.routes)),
            services_by_name={s.name: _service(s) for s in wire.services},
            workspaces_by_name={w.name: _workspace(w) for w in wire.workspaces},
            limits=RequestLimits(
                wire.limits.max_header_bytes,
                wire.limits.max_body_bytes,
                wire.limits.header_timeout_ms / 1000,
                wire.limits.idle_timeout_ms / 1000,
            ),
        )
    )


def decode_endpoint(endpoint_id: str, value: bytes) -> Result[ListedEndpoint, str]:
    """Return the endpoint of an entry, or the reason why it cannot be used.

    Other writers may leave entries, so nothing is raised whatever the entry is, and an
    endpoint that is returned can be connected to and named in a header.
    """
    if not _is_header_text(endpoint_id):
        return Err("the identifier has characters that no header can hold")
    return decode_json(value, WireEndpoint).and_then(
        lambda wire: _listed_endpoint(endpoint_id, wire)
    )


def _listed_endpoint(
    endpoint_id: str, wire: WireEndpoint
) -> Result[ListedEndpoint, str]:
    address, _, port = wire.address.rpartition(":")
    if not is_host_address(address, is_ipv4=True):
        return Err("`address` has no IP address of a host")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return Err("`address` has no port from 1 to 65535")
    if wire.state not in STATUSES_BY_NAME:
        return Err("`state` is none of " + ", ".join(STATUSES_BY_NAME))
    return Ok(
        ListedEndpoint(
            host=endpoint_id,
            incarnation=wire.started_ms,
            address=address,
            port=int(port),
            data_centre=wire.data_centre,
            deployment=wire.service,
            status=STATUSES_BY_NAME[wire.state],
            slots=wire.slots,
            is_reclaimable=wire.is_reclaimable,
            software_version=wire.software_version,
        )
    )


def _is_header_text(text: str) -> bool:
    """Return whether a text is visible ASCII, so that it cannot end a header."""
    return text.isascii() and text.isprintable() and " " not in text and text != ""


def _route(wire: WireRoute) -> Route:
    shares = tuple(WeightedService(s.service, s.weight) for s in wire.shares)
    return Route(
        name=wire.name,
        hostname=wire.hostname.lower(),
        prefix=wire.prefix,
        kind=KINDS_BY_NAME[wire.kind],
        timeout_seconds=wire.timeout_ms / 1000,
        latency_target_seconds=wire.target_latency_ms / 1000,
        priority=wire.priority,
        services=shares or (WeightedService(wire.service, 1),),
        max_attempts=max(1, wire.max_attempts),
        is_public=wire.is_public,
        may_resume=wire.may_resume,
        max_gap_seconds=None if wire.max_gap_ms is None else wire.max_gap_ms / 1000,
    )


def _service(wire: WireService) -> Service:
    scaling = wire.scaling
    return Service(
        name=wire.name,
        max_connections=wire.max_connections,
        cache_tokens=wire.engine.cache_tokens if wire.engine else 0,
        shares_cache=wire.engine is not None and wire.engine.shares_cache,
        scaling=None
        if scaling is None
        else ScalingBounds(
            scaling.min_engines,
            scaling.max_engines,
            scaling.start_seconds,
            scaling.reclaimable_price,
            scaling.price_by_data_centre,
        ),
    )


def _workspace(wire: WireWorkspace) -> SiteWorkspace:
    quota = None
    if wire.rate_per_s:
        counts_tokens = wire.unit == TOKEN_UNIT
        quota = Quota(wire.rate_per_s, wire.burst, counts_tokens, wire.plain_tokens)
    return SiteWorkspace(wire.name, frozenset(wire.keys), wire.priority, quota)
