"""Datagrams that no host of the site has sent, or that cannot be read."""

from __future__ import annotations

import asyncio
import json
import socket

import msgspec
import pytest

from amaranthhollow.decisions.gossip import GossipMessage
from amaranthhollow.decisions.reports import HostReport
from amaranthhollow.peers.datagrams import Ping, ReportPing, encode_datagram
from tests.entry.entry_site import METRICS_PORT, PEER_PORT

STRANGER_NUMBER = 77
FUTURE_INCARNATION = 1 << 60
GOSSIP = GossipMessage("host-2", (), (0,) * 16)
REPORT = HostReport({}, {}, {})
ABSURD_PROTOCOLS = (-(1 << 40), 0, 1, 1 << 40)


@pytest.fixture
async def pair(site, daemon_address):
    """The addresses of two hosts that know each other."""
    other_address = site.start_daemon("host-2", 22)
    await site.wait_ready(other_address)
    for name in ("host-1", "host-2"):
        await wait_for(lambda name=name: newest(site, name)["reachable"] == 1)
    return daemon_address, other_address


@pytest.fixture
def send_datagrams(site):
    """Send datagrams to an address from one that no host has."""
    with socket.socket(type=socket.SOCK_DGRAM) as stranger:
        stranger.bind((f"{site.network}.{STRANGER_NUMBER}", PEER_PORT))

        def send(address, *datagrams):
            for data in datagrams:
                stranger.sendto(data, (address, PEER_PORT))

        yield send


async def wait_for(condition, seconds=10.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.05)


def events(site, name, event):
    lines = map(json.loads, site.read_log(name).splitlines())
    return [line for line in lines if line.get("event") == event]


def newest(site, name):
    found = events(site, name, "reachable hosts changed")
    return found[-1] if found else {"reachable": 0}


async def read_metric(site, address, name):
    request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"
    response = await site.send_bytes(address, METRICS_PORT, request)
    lines = response.body.decode().splitlines()
    return [line for line in lines if line.startswith(f"amaranthhollow_{name}")]


# A stranger's datagram in the name of a host made the others address it in a form
# that it does not read, and count it as lost for 15 s.
async def test_datagram_of_another_address_does_not_count_as_the_host(
    site, pair, send_datagrams
):
    first, _ = pair
    for protocol in ABSURD_PROTOCOLS:
        head = (5, "host-2", FUTURE_INCARNATION, GOSSIP)
        forged = ReportPing(*head, REPORT, protocol)
        send_datagrams(first, encode_datagram(forged))
    send_datagrams(first, encode_datagram(Ping(*head, {})))
    await asyncio.sleep(4.0)

    assert newest(site, "host-1")["reachable"] == 1
    assert [e["protocol"] for e in events(site, "host-1", "protocol of a peer")] == [2]
    assert len(events(site, "host-1", "reachable hosts changed")) == 1


async def test_unreadable_datagrams_are_counted_and_rarely_logged(
    site, pair, send_datagrams
):
    first, _ = pair
    whole = encode_datagram(Ping(5, "host-2", 9, GOSSIP, {}))
    future = msgspec.msgpack.encode(["ping", 5, "host-2", 9, "a later form"])
    unknown = msgspec.msgpack.encode(["later" * 100, 5])
    for _ in range(50):
        send_datagrams(first, b"", b"\xc1", whole[:-3], future, unknown)
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0)

    counted = await read_metric(site, first, 'datagrams_total{kind="unreadable"}')
    assert counted[0].endswith(" 250.0")
    warnings = events(site, "host-1", "messages unreadable")
    assert 1 <= len(warnings) <= 5
    assert {w["address"] for w in warnings} == {f"{site.network}.{STRANGER_NUMBER}"}
    assert "ping of 5" in {w["form"] for w in warnings}
    assert all(len(w["form"]) <= 40 for w in warnings)
    assert (await site.send_request(first, "/plain/", "r1")).status == 200


async def test_host_that_has_moved_to_another_address_is_heard(site, pair):
    first, _ = pair
    site.terminate("host-2")
    await asyncio.to_thread(site.processes["host-2"].wait, 15)
    moved_address = site.start_daemon("host-2", 23)
    await site.wait_ready(moved_address)
    await wait_for(lambda: newest(site, "host-2")["reachable"] == 1)
    await asyncio.sleep(1.0)
    name = 'datagrams_total{kind="other address"}'
    counted = [await read_metric(site, first, name)]
    await asyncio.sleep(4.0)
    counted.append(await read_metric(site, first, name))

    assert counted[0] == counted[1]
    assert newest(site, "host-1")["reachable"] == 1
    assert newest(site, "host-2")["reachable"] == 1
