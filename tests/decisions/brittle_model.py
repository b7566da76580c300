"""Simulates hosts that send to endpoints which fall over for what they reject."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from itertools import count
from random import Random

from amaranthhollow.decisions.brittle_endpoints import BrittleEndpoints, EndpointUse

__all__ = ["BrittleModel"]

START = 1_700_000_000.0
# Every host hears a fact within this time.
GOSSIP_SECONDS = {8: 0.6, 90: 2.0}
RESTART_SECONDS = 3.0
SERVICE = "service"


@dataclass
class SimulatedHost:
    name: str
    brittle: BrittleEndpoints
    running: dict[str, int] = field(default_factory=dict)
    newest_by_key: dict = field(default_factory=dict)


@dataclass
class SimulatedEndpoint:
    endpoint_id: str
    incarnation: int = 1
    running: int = 0
    is_down: bool = False
    rejections: list[float] = field(default_factory=list)


class BrittleModel:
    """Hosts before the endpoints of one service, which tolerate so many rejections."""

    def __init__(self, host_count, endpoint_count, slots, tolerated, seed):
        self.random = Random(f"{host_count}-{slots}-{tolerated}-{seed}")
        self.gossip_seconds = GOSSIP_SECONDS[host_count]
        self.slots, self.tolerated = slots, tolerated
        names = [f"host-{n}" for n in range(host_count)]
        self.hosts = {
            name: SimulatedHost(name, BrittleEndpoints(name)) for name in names
        }
        self.endpoints = [SimulatedEndpoint(f"e{n}") for n in range(endpoint_count)]
        self.is_brittle = False
        self.brittle_at = float("inf")
        self.now = START
        self.events, self.order = [], count()
        self.falls = self.served = self.refused = 0

    def at(self, time, action, *arguments):
        heapq.heappush(self.events, (time, next(self.order), action, arguments))

    def run(self, seconds, load, work_seconds=1.0):
        """Send ``load`` times what all endpoints can run, and advance the time."""
        rate = load * len(self.endpoints) * self.slots / work_seconds
        ends_at, sent_at = self.now + seconds, self.now
        while (sent_at := sent_at + self.random.expovariate(rate)) < ends_at:
            self.at(sent_at, self.send, work_seconds)
        while self.events and self.events[0][0] < ends_at:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = ends_at

    def state_brittle(self):
        self.is_brittle, self.brittle_at = True, self.now

    def send(self, work_seconds):
        host = self.random.choice(list(self.hosts.values()))
        usable = [
            endpoint
            for endpoint in self.endpoints
            if not endpoint.is_down
            and host.brittle.may_send(self.use(host, endpoint), self.now)
        ]
        if not usable:
            self.refused += 1
            return
        least = min(host.running.get(e.endpoint_id, 0) for e in usable)
        endpoint = self.random.choice(
            [e for e in usable if host.running.get(e.endpoint_id, 0) == least]
        )
        host.brittle.record_sent(self.use(host, endpoint), self.now)
        if endpoint.running >= self.slots:
            self.reject(host, endpoint)
            return
        endpoint.running += 1
        host.running[endpoint.endpoint_id] = (
            host.running.get(endpoint.endpoint_id, 0) + 1
        )
        ended_at = self.now + work_seconds * self.random.uniform(0.3, 1.7)
        self.at(ended_at, self.end, host, endpoint, endpoint.incarnation, self.now)

    def use(self, host, endpoint):
        running = host.running.get(endpoint.endpoint_id, 0)
        return EndpointUse(
            endpoint.endpoint_id,
            endpoint.incarnation,
            SERVICE,
            self.slots,
            running,
            tuple(self.hosts),
        )

    def end(self, host, endpoint, incarnation, sent_at):
        host.running[endpoint.endpoint_id] -= 1
        if endpoint.incarnation == incarnation and not endpoint.is_down:
            endpoint.running -= 1
            self.served += 1
            self.respond(host, endpoint, sent_at)

    def reject(self, host, endpoint):
        endpoint.rejections.append(self.now)
        recent = [at for at in endpoint.rejections if at > self.now - 1.0]
        if self.now >= self.brittle_at + 3.0 and len(recent) > self.tolerated:
            self.falls += 1
            endpoint.is_down = True
            self.at(self.now + RESTART_SECONDS, self.restart, endpoint)
            return
        host.brittle.record_rejection(endpoint.endpoint_id, self.now)
        self.respond(host, endpoint, self.now)

    def restart(self, endpoint):
        endpoint.is_down, endpoint.running = False, 0
        endpoint.incarnation += 1

    def respond(self, host, endpoint, sent_at):
        tolerated = self.tolerated if self.is_brittle else None
        if tolerated is None and not host.brittle.has_any:
            return
        fact = host.brittle.observe(
            self.use(host, endpoint), tolerated, sent_at=sent_at, now=self.now
        )
        if fact is None:
            return
        for name in self.hosts:
            delay = self.random.uniform(0.0, self.gossip_seconds)
            self.at(
                self.now + (delay if name != host.name else 0.0), self.hear, name, fact
            )

    def hear(self, name, fact):
        host = self.hosts[name]
        known = host.newest_by_key.get(fact.key)
        if known is None or known < fact.version:
            host.newest_by_key[fact.key] = fact.version
            host.brittle.apply(fact, SERVICE, self.now)
