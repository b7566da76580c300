"""Links of hosts to endpoints: single verdicts, and those of many hosts."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

import pytest

from amaranthhollow.decisions.endpoint_links import (
    EndpointLinks,
    RelayPeer,
    preferred_relays,
)
from tests.recover_rule import CutRecord

pytestmark = pytest.mark.invariant

CONNECT_SECONDS = 0.002
CONNECT_TIMEOUT_SECONDS = 0.4
RELAY_DELAY_SECONDS = 0.1
PROBE_SECONDS = 0.5
MAX_RELAYS_TRIED = 4
PATIENCE_SECONDS = 1.0
# How old the report of a peer may be.
REPORT_SECONDS = {8: 0.25, 90: 2.0}


def test_new_host_takes_its_links_for_granted():
    links = EndpointLinks()

    assert not links.are_lost
    assert links.are_doubtful(10.0)


def test_single_failed_endpoint_is_no_lost_link():
    links = EndpointLinks()
    links.record_failure("e1", 10.0)
    links.record_failure("e1", 11.0)

    assert not links.are_lost


def test_links_are_lost_if_several_endpoints_fail():
    links = EndpointLinks()
    links.record_failure("e1", 10.0)
    links.record_failure("e2", 10.4)

    assert links.are_lost
    assert not links.is_loss_proven


# All hosts refused what a third endpoint could have served, as two others had crashed.
def test_other_endpoints_are_tried_while_links_are_only_suspected_to_be_lost():
    links = EndpointLinks()
    for endpoint in ("e1", "e2"):
        assert links.may_reach(endpoint)
        links.record_failure(endpoint, 10.0)

    assert not links.may_reach("e1")
    assert links.may_reach("e3")


@pytest.mark.parametrize("relayed_first", [True, False])
def test_links_are_lost_if_a_peer_reaches_the_failed_endpoint(relayed_first):
    links = EndpointLinks()
    if relayed_first:
        links.record_relayed("e1")
    links.record_failure("e1", 10.0)
    if not relayed_first:
        links.record_relayed("e1")

    assert links.is_loss_proven


def test_connection_restores_the_links():
    links = EndpointLinks()
    for endpoint in ("e1", "e2"):
        links.record_failure(endpoint, 10.0)
        links.record_relayed(endpoint)
    links.record_connected(20.0)

    assert not links.are_lost
    assert not links.are_doubtful(20.1)
    assert links.are_doubtful(21.0)


# Two endpoints that had crashed together were taken for lost links.
def test_endpoints_that_fail_beside_a_connection_are_no_lost_links():
    links = EndpointLinks()
    links.record_connected(10.0)
    links.record_failure("e1", 10.1)
    links.record_failure("e2", 10.2)

    assert not links.are_lost


def test_peers_of_the_same_data_centre_are_preferred_and_others_left_out():
    peers = [
        RelayPeer("a", "dc-2", can_relay=True),
        RelayPeer("b", "dc-1", can_relay=False),
        RelayPeer("c", "dc-1", can_relay=True),
        RelayPeer("d", "dc-1", can_relay=True),
    ]
    orders = {tuple(preferred_relays(peers, "dc-1", Random(n))) for n in range(20)}

    assert orders == {("c", "d", "a"), ("d", "c", "a")}


@dataclass
class SimulatedHost:
    name: str
    is_cut: bool = False
    links: EndpointLinks = field(default_factory=EndpointLinks)


class LinksModel:
    """Hosts that need a new connection for each request, and lose their links."""

    def __init__(self, host_count, cut_share, seed):
        self.random = Random(f"{host_count}-{cut_share}-{seed}")
        names = [f"host-{n}" for n in range(host_count)]
        self.hosts = {name: SimulatedHost(name) for name in names}
        cut_count = min(host_count - 1, round(cut_share * host_count))
        self.cut_names = frozenset(names[:cut_count])
        self.report_seconds = REPORT_SECONDS[host_count]
        self.reports = {name: {n: True for n in names} for name in names}
        self.endpoints = [f"e{n}" for n in range(max(4, host_count // 4))]
        self.events = []
        self.order = count()
        self.now = 0.0

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self, until, record):
        for host in self.hosts.values():
            for number in range(int(until / 0.3)):
                sent_at = 0.3 * number + self.random.uniform(0.0, 0.3)
                self.at(sent_at, self.request, host, sent_at, record)
            for number in range(int(until / PROBE_SECONDS)):
                self.at(PROBE_SECONDS * number, self.probe, host)
            for number in range(int(until / self.report_seconds)):
                at = self.report_seconds * (number + self.random.random())
                self.at(at, self.report, host)
        while self.events and self.events[0][0] < until:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def report(self, host):
        for name in self.hosts:
            self.reports[name][host.name] = not host.links.are_lost

    def set_cut(self, is_cut):
        for name in self.cut_names:
            self.hosts[name].is_cut = is_cut

    def probe(self, host):
        if host.links.are_lost:
            self.connect(host, self.random.choice(self.endpoints))

    def connect(self, host, endpoint):
        """Connect directly; return the time until the result is known."""
        if not host.is_cut:
            host.links.record_connected(self.now)
            return CONNECT_SECONDS
        timeout_at = self.now + CONNECT_TIMEOUT_SECONDS
        self.at(timeout_at, host.links.record_failure, endpoint, timeout_at)
        return None

    def request(self, host, sent_at, record):
        endpoint = self.random.choice(self.endpoints)
        delay = 0.0
        if not host.links.are_lost:
            seconds = self.connect(host, endpoint)
            if seconds is not None:
                record.first_tries.append((host.name, sent_at, True))
                return
            delay = RELAY_DELAY_SECONDS
        served = False
        for name in self.relays(host)[:MAX_RELAYS_TRIED]:
            peer = self.hosts[name]
            if peer.links.are_lost:
                delay += CONNECT_SECONDS
            elif self.connect(peer, endpoint) is None:
                delay += CONNECT_TIMEOUT_SECONDS
            else:
                served = delay < PATIENCE_SECONDS
                self.at(self.now + delay, host.links.record_relayed, endpoint)
                break
        record.first_tries.append((host.name, sent_at, served))

    def relays(self, host):
        peers = [
            RelayPeer(name, "dc-1", can_relay)
            for name, can_relay in self.reports[host.name].items()
            if name != host.name
        ]
        return preferred_relays(peers, "dc-1", self.random)


# Hosts that were cut off had no way to endpoints, and their callers were not served.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("cut_share", [0.1, 0.6, 0.9, 1.0])
@pytest.mark.parametrize("host_count", [8, 90])
def test_callers_of_cut_hosts_are_served_through_peers(host_count, cut_share, seed):
    model = LinksModel(host_count, cut_share, seed)
    record = CutRecord(model.cut_names, cut_at=5.0, ended_at=17.0)
    model.at(5.0, model.set_cut, True)
    model.at(17.0, model.set_cut, False)
    model.run(22.0, record)

    assert record.is_kept(), record.served_shares()
    assert min(record.served_shares()) >= 0.95
    assert not any(host.links.are_lost for host in model.hosts.values())
