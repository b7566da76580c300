"""Datagrams of this version and of earlier ones."""

from __future__ import annotations

import msgspec
import pytest

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.gossip import GossipMessage
from amaranthhollow.decisions.peer_protocols import PeerProtocol
from amaranthhollow.decisions.reports import HostReport, ReportChanges
from amaranthhollow.peers.datagrams import (
    Echo,
    FreshnessReport,
    Ping,
    ReportEcho,
    ReportPing,
    decode_datagram,
    describe_form,
    encode_datagram,
)

GOSSIP = GossipMessage("host-1", (), (0,) * 16)
REPORT = HostReport({7: {"w": 1}}, {"w": 5.0}, {"e": EndpointLoad(1, 10)})
FRESHNESS = FreshnessReport(1, 0.1, 2, 3, 0.2)
CHANGES = ReportChanges("host-1", 9, 0, 1, 5, {}, {}, None, True)


@pytest.mark.parametrize(
    "message",
    [
        Ping(1, "host-1", 9, GOSSIP, {}),
        Ping(1, "host-1", 9, GOSSIP, {5: 3}),
        ReportPing(1, "host-1", 9, GOSSIP, REPORT),
        ReportPing(1, "host-1", 9, GOSSIP, REPORT, PeerProtocol.REPORT_CHANGES),
        Echo(1, "host-1", 9, GOSSIP, (), FRESHNESS, 5.0),
        Echo(1, "host-1", 9, GOSSIP, (CHANGES,), FRESHNESS, 5.0, {"w": 1.0}),
        ReportEcho(1, "host-1", 9, GOSSIP, REPORT, FRESHNESS, 5.0),
    ],
)
def test_form_of_a_message_shows_its_version(message):
    assert decode_datagram(encode_datagram(message)) == message


def test_later_fields_of_a_message_are_skipped():
    encoded = msgspec.msgpack.decode(encode_datagram(Ping(1, "host-1", 9, GOSSIP, {})))
    message = decode_datagram(msgspec.msgpack.encode([*encoded, "later", 5]))

    assert message == Ping(1, "host-1", 9, GOSSIP, {})


def test_report_without_later_fields_is_read():
    encoded = [{}, {}, {}]
    data = ["ping", 1, "host-1", 9, msgspec.to_builtins(GOSSIP), encoded]
    message = decode_datagram(msgspec.msgpack.encode(data))

    assert message == ReportPing(1, "host-1", 9, GOSSIP, HostReport({}, {}, {}))


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x92\xa4ping\x01", b"\x91\xa5later", b"\x95" + b"\xc0" * 5]
)
def test_bytes_that_are_no_message_are_none(data):
    assert decode_datagram(data) is None


@pytest.mark.parametrize(
    ("data", "form"),
    [
        (b"", "no message"),
        (b"\x92\xa4ping\x01", "ping of 2"),
        (b"\x91\xa5later", "later of 1"),
        (b"\x95" + b"\xc0" * 5, "no message"),
        (b"\x91" * 5_000, "no message"),
        (msgspec.msgpack.encode(["x" * 500]), "x" * 20 + " of 1"),
    ],
)
def test_form_of_an_unreadable_message_is_described_in_few_characters(data, form):
    assert describe_form(data) == form
