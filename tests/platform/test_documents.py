"""Tests of the decoders with valid, malformed and corrupted documents."""

from __future__ import annotations

import json
from socket import AF_INET, inet_pton

import msgspec
import pytest
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


# One entry with such a value made hosts lose the whole list, or broke connections off.
@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:-1"},
        {"address": "10.0.0.1:+80"},
        {"address": "10.0.0.1:8_0"},
        {"address": "10.0.0.1:\u0668\u0660"},
        {"address": "10.0.0.1:" + "9" * 5000},
        {"address": "\x00:80"},
        {"address": "10.0.0:80"},
        {"address": "host.example:80"},
        {"address": "0.0.0.0:80"},
        {"address": "255.255.255.255:80"},
        {"address": "[::1]:80"},
        {"slots": 0},
        {"slots": -1},
        {"slots": 10**400},
        {"slots": 1.5},
        {"born": -1},
        {"born": 2**64},
        {"born": 10**400},
        {"version": "v" * 100_000},
        {"zone": "z" * 100_000},
    ],
    ids=lambda change: str(change)[:30],
)
def test_decode_endpoint_rejects_what_cannot_be_used(change):
    value = json.dumps({**ENDPOINT, **change}).encode()

    assert isinstance(decode_endpoint("i-1", value), Err)


def test_decode_endpoint_rejects_a_number_of_thousands_of_digits():
    value = json.dumps(ENDPOINT).replace('"slots": 64', '"slots": ' + "9" * 5000)

    assert isinstance(decode_endpoint("i-1", value.encode()), Err)


@pytest.mark.parametrize("depth", [100, 100_000])
def test_depth_of_a_field_that_is_not_read_is_no_fault_of_the_host(depth):
    nested = b"[" * depth + b"]" * depth
    value = json.dumps(ENDPOINT).encode()[:-1] + b', "other": ' + nested + b"}"

    assert isinstance(decode_endpoint("i-1", value), Ok if depth == 100 else Err)


# The identifier is sent in a header.
@pytest.mark.parametrize("endpoint_id", ["", "a b", "a\r\nX: 1", "\u00e9", "\ud800"])
def test_decode_endpoint_rejects_an_identifier_that_no_header_can_hold(endpoint_id):
    value = json.dumps(ENDPOINT).encode()

    assert isinstance(decode_endpoint(endpoint_id, value), Err)


# A version out of range outranked every later configuration.
@pytest.mark.parametrize(
    "change",
    [
        {"version": 10**300},
        {"version": -1},
        {"version": 1.5},
        {"routes": [{**CONFIGURATION["routes"][0], "route_type": "sometimes"}]},
        {"routes": [{**CONFIGURATION["routes"][0], "timeout_ms": -1}]},
        {"routes": [{**CONFIGURATION["routes"][0], "timeout_ms": 1e300}]},
        {"routes": [{**CONFIGURATION["routes"][0], "priority": 10**400}]},
        {"limits": {"idle_timeout_ms": 1e300}},
        {"tenants": [{"name": "w", "rate_per_s": 10**400}]},
    ],
    ids=lambda change: str(change)[:20],
)
def test_decode_configuration_rejects_what_cannot_be_used(change):
    value = json.dumps({**CONFIGURATION, **change}).encode()

    assert isinstance(decode_configuration(value), Err)


def test_decode_configuration_rejects_a_nested_document():
    nested = b"[" * 100_000 + b"]" * 100_000
    value = json.dumps(CONFIGURATION).encode()[:-1] + b', "other": ' + nested + b"}"

    assert isinstance(decode_configuration(value), Err)


def power_of_ten(exponent):
    return 10 ** (abs(exponent) % 5000)


def containers_of(values):
    return st.lists(values) | st.dictionaries(st.text(), values)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers().map(power_of_ten)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    containers_of,
    max_leaves=8,
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(changes=st.dictionaries(st.sampled_from(sorted(ENDPOINT)), JSON_VALUES))
def test_an_endpoint_that_is_decoded_can_be_stored_and_sent(changes):
    try:
        value = json.dumps({**ENDPOINT, **changes}).encode()
    except ValueError:
        return
    match decode_endpoint("i-1", value):
        case Ok(endpoint):
            assert msgspec.msgpack.encode(endpoint)
            assert 0 < endpoint.port < 65536
            assert endpoint.slots > 0
            inet_pton(AF_INET, endpoint.address)


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
