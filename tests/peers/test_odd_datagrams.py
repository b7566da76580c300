"""Datagrams whose values no host can compute with."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.gossip import Fact, GossipMessage, Version
from amaranthhollow.decisions.reports import ReportChanges
from amaranthhollow.peers.datagrams import (
    Echo,
    FreshnessReport,
    OriginQuery,
    Ping,
    decode_datagram,
    encode_datagram,
)
from tests.entry.test_fact_consumers import DIGEST, crash_fact, daemon, tell

__all__ = ["daemon"]

RECORDED = Path(__file__).parents[1] / "compatibility" / "recorded"
GOSSIP = GossipMessage("host-1", (), (0,) * 16)
FRESHNESS = FreshnessReport(1, 0.1, 2, 3, 0.2)
CHANGES = ReportChanges("host-1", 9, 0, 1, 5, {}, {}, None, True)
NAN, HUGE = float("nan"), 2**63


def echo(**changes):
    message = Echo(1, "host-1", 9, GOSSIP, (CHANGES,), FRESHNESS, 5.0)
    return msgspec.structs.replace(message, **changes)


def with_changes(**changes):
    return echo(changes=(msgspec.structs.replace(CHANGES, **changes),))


def with_freshness(**changes):
    return echo(freshness=msgspec.structs.replace(FRESHNESS, **changes))


def with_fact(name="f", version=(1, 0), value=b""):
    fact = Fact("kind", name, Version(*version), value)
    return Ping(1, "h", 1, GossipMessage("h", (fact,), (0,) * 16), {})


# An era of a peer from far ahead made all responses of the store look late, at each
# host that heard of it; a time that is no number had no median.
@pytest.mark.parametrize(
    "message",
    [
        with_freshness(store_era=HUGE),
        with_freshness(store_era=-1),
        with_freshness(endpoints_era=HUGE),
        with_freshness(endpoints_revision=HUGE),
        with_freshness(configuration_version=HUGE),
        with_freshness(configuration_age=NAN),
        with_freshness(endpoints_age=float("inf")),
        with_freshness(fencing_token=HUGE),
        echo(wall_time=NAN),
        echo(wall_time=1e300),
        echo(quota_levels={"w": NAN}),
        echo(incarnation=HUGE),
        with_changes(spent={"w": float("inf")}),
        with_changes(usage={7: {"w": -5}}),
        with_changes(usage={HUGE: {}}),
        with_changes(version=HUGE),
        with_changes(age_ms=HUGE),
        with_changes(loads={"e": EndpointLoad(HUGE, 0)}),
        with_fact(name="n" * 5000),
        with_fact(value=b"v" * 5000),
        with_fact(version=(HUGE, 0)),
        Ping(1, "h", 1, GossipMessage("h", (), (0,) * 15), {}),
        Ping(1, "h", 1, GossipMessage("h", (), (0,) * 16, (16,)), {}),
        Ping(1, "h", 1, GOSSIP, {1: HUGE}),
        OriginQuery(1, "h", "r1", "model", NAN),
    ],
)
def test_message_with_a_value_out_of_range_is_unreadable(message):
    assert decode_datagram(encode_datagram(message)) is None


def samples():
    """Return messages of this version and the recorded ones of earlier versions."""
    recorded = [
        bytes.fromhex(data)
        for file in sorted(RECORDED.glob("*.json"))
        for name, data in sorted(json.loads(file.read_text()).items())
        if name in ("ping", "echo", "stream started", "origin query", "origin reply")
    ]
    return [*map(encode_datagram, (echo(), with_fact())), *recorded]


ODD_VALUES = (
    st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5)
    | st.none()
    | st.lists(st.integers(0, 3), max_size=3)
    | st.dictionaries(st.integers(0, 3), st.integers(0, 3), max_size=2)
)


def places(value, path=()):
    """Return the paths of all values within a decoded message."""
    found = [path]
    if isinstance(value, list):
        for index, item in enumerate(value):
            found += places(item, (*path, index))
    elif isinstance(value, dict):
        for key, item in value.items():
            found += places(item, (*path, key))
    return found


def replaced(value, path, new):
    """Return a decoded message with the value at a path replaced."""
    if not path:
        return new
    copy = list(value) if isinstance(value, list) else dict(value)
    copy[path[0]] = replaced(value[path[0]], path[1:], new)
    return copy


@settings(max_examples=400, derandomize=True)
@given(data=st.data())
def test_no_datagram_raises_or_hides_a_later_one(data):
    host = daemon.__wrapped__()
    for _ in range(3):
        encoded = data.draw(st.sampled_from(samples()))
        if data.draw(st.booleans()):
            message = msgspec.msgpack.decode(encoded, strict=False)
            path = data.draw(st.sampled_from(places(message)))
            odd = replaced(message, path, data.draw(ODD_VALUES))
            datagram = msgspec.msgpack.encode(odd)
        else:
            at = data.draw(st.integers(0, len(encoded) - 1))
            junk = data.draw(st.binary(max_size=4))
            datagram = encoded[:at] + junk + encoded[at + len(junk) :]
        host.peering.datagram_received(datagram, ("127.0.0.2", 1))

    tell(host, crash_fact(host.host.wall_time()))
    assert host.host.crash_detector._quarantine.is_suspect(DIGEST)
    host.peering.ping_next()
