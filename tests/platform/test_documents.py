"""Tests of the decoders with valid, malformed and corrupted documents."""

from __future__ import annotations

import json

from hypothesis import given, settings, strategies as st
from result import Err, Ok

from amaranthhollow.decisions.endpoints import EndpointStatus
from amaranthhollow.decisions.site import RouteKind
from amaranthhollow.platform.documents import decode_configuration, decode_endpoint

ENDPOINT = {
    "backend": "model",
    "address": "10.128.0.9:8080",
    "zone": "dc-1",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1700000000000,
    "spot": True,
}
ROUTE = {
    "name": "r",
    "hostname": "App.example",
    "prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 10000,
    "target_latency_ms": 1000,
    "priority": 1,
    "weighted_backends": [
        {"backend": "one", "weight": 90},
        {"backend": "two", "weight": 10},
    ],
    "max_attempts": 1,
    "stream_resume": True,
    "gap_aim_ms": 500,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE, {**ROUTE, "name": "s", "prefix": "/a/b/", "backend": "one"}],
    "services": [
        {
            "name": "one",
            "max_connections": 370,
            "engine": {"kv_tokens": 519595, "slots": 64},
            "autoscale": {
                "min_replicas": 1,
                "max_replicas": 5,
                "boot_s": 4.0,
                "spot_price": 0.22,
                "zone_prices": {"dc-1": 1.0},
            },
        }
    ],
    "limits": {"max_header_bytes": 16384},
    "tenants": [
        {
            "name": "w",
            "api_keys": ["k1", "k2"],
            "unit": "token_count",
            "plain_tokens": 200,
            "rate_per_s": 1000,
            "burst": 2000,
        }
    ],
}


def test_decode_configuration_returns_the_typed_fields():
    configuration = decode_configuration(json.dumps(CONFIGURATION).encode()).unwrap()

    route = configuration.find_route("app.example", "/a/x")
    assert configuration.version == 7
    assert (route.name, route.kind) == ("r", RouteKind.STREAMING)
    assert (route.timeout_seconds, route.max_gap_seconds) == (10.0, 0.5)
    assert [route.service_for(point) for point in (0.0, 0.89, 0.95)] == [
        "one",
        "one",
        "two",
    ]
    assert configuration.find_route("app.example", "/a/b/c").name == "s"
    assert configuration.find_route("app.example", "/b/") is None
    assert configuration.workspaces_by_key["k2"].quota.rate_per_second == 1000
    assert configuration.services_by_name["one"].scaling.reclaimable_price == 0.22


def test_decode_endpoint_returns_the_typed_fields():
    endpoint = decode_endpoint("i-1", json.dumps(ENDPOINT).encode()).unwrap()

    assert (endpoint.address, endpoint.port) == ("10.128.0.9", 8080)
    assert endpoint.incarnation == 1700000000000
    assert endpoint.status is EndpointStatus.LIVE
    assert endpoint.is_reclaimable
    assert endpoint.software_version == "v1"


def test_decode_endpoint_rejects_an_invalid_or_missing_field():
    for change in (
        {"address": 5},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:port"},
        {"slots": "many"},
        {"state": "resting"},
        {"born": "yesterday"},
        {"version": 1},
        {"backend": None},
    ):
        value = json.dumps({**ENDPOINT, **change}).encode()
        assert isinstance(decode_endpoint("i-1", value), Err), change
    for field in ("address", "slots", "state", "backend", "zone"):
        rest = {k: v for k, v in ENDPOINT.items() if k != field}
        assert isinstance(decode_endpoint("i-1", json.dumps(rest).encode()), Err)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_decoders_raise_nothing_for_corrupted_documents(data):
    document = data.draw(st.sampled_from([ENDPOINT, CONFIGURATION]))
    value = bytearray(json.dumps(document).encode())
    for _ in range(data.draw(st.integers(1, 8))):
        at = data.draw(st.integers(0, len(value) - 1))
        value[at] = data.draw(st.integers(0, 255))
    end = data.draw(st.integers(0, len(value)))

    for spoiled in (bytes(value), bytes(value[:end])):
        assert isinstance(decode_configuration(spoiled), Ok | Err)
        assert isinstance(decode_endpoint("i-1", spoiled), Ok | Err)
