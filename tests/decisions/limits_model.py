"""Simulates hosts that send to endpoints with limits, under faults of many kinds."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from amaranthhollow.decisions.endpoint_limits import EndpointLimiter
from tests.limit_rule import LimitRecord

__all__ = ["LimitsModel"]

TICK_SECONDS = 0.02
SHARING_DELAY_SECONDS = 2.0
KNOWN_HOST_RETENTION_SECONDS = 15.0
RESTART_SECONDS = 0.8
# Every host hears a fact within this time, unless it is disturbed.
GOSSIP_SECONDS = {8: 0.6, 90: 2.0}
START = 1_700_000_000.0


@dataclass
class SimulatedHost:
    """One host: its limiter, its view of the others, and its fault, if any."""

    name: str
    limiter: EndpointLimiter
    started_at: float
    clock_offset: float
    known: set[str]
    is_down: bool = False
    frozen_until: float = 0.0
    cut_until: float = 0.0
    cut_since: float = 0.0
    responses: list = field(default_factory=list)


class LimitsModel:
    """Hosts that would send every request to one endpoint with a limit.

    Gossip takes a random time to each host; a host that is cut off neither sends nor
    gets facts, and after the retention time takes itself for the only one.
    """

    def __init__(self, host_count: int, rate: float, seed: int) -> None:
        self.random = Random(f"{host_count}-{rate}-{seed}")
        self.now = START
        self.rate = rate
        self.gossip_seconds = GOSSIP_SECONDS[host_count]
        names = [f"host-{number}" for number in range(host_count)]
        self.hosts = {
            name: self._new_host(name, set(names), START - 60.0) for name in names
        }
        self.facts: list[tuple[float, str, object]] = []
        self.newest_facts: dict[str, object] = {}
        self.events: list[tuple[float, int, object]] = []
        self.next_host = host_count
        self.names_limit = False
        self.record = LimitRecord(rate, float("inf"))
        self.sent = 0

    def _new_host(self, name: str, known: set[str], started_at: float):
        offset = self.random.uniform(-0.005, 0.005)
        return SimulatedHost(name, EndpointLimiter(name), started_at, offset, known)

    def run(self, seconds: float, requests_per_second: float, fault_rate: float):
        """Advance the simulation, with so many requests and faults a second."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_SECONDS
            self._deliver_facts()
            if self.random.random() < fault_rate * TICK_SECONDS:
                self._inject_fault()
            for host in list(self.hosts.values()):
                self._run_host(host, requests_per_second)

    def state_limit(self) -> None:
        """Let the endpoint state its limit from now on."""
        self.names_limit = True
        self.record.named_at = self.now

    def withdraw_limit(self) -> None:
        """Let the endpoint state no limit any more."""
        self.names_limit = False
        self.record.ended_at = self.now

    def limited_hosts(self) -> int:
        """Return how many hosts still keep a limit."""
        return sum(h.limiter.rate("e", 1) is not None for h in self.hosts.values())

    def _run_host(self, host: SimulatedHost, requests_per_second: float) -> None:
        if host.is_down or self.now < host.frozen_until:
            return
        for at, sent_at, rate in list(host.responses):
            if at <= self.now:
                host.responses.remove((at, sent_at, rate))
                self._receive(host, sent_at, rate)
        if self.random.random() >= requests_per_second * TICK_SECONDS:
            return
        wall = self.now + host.clock_offset
        if host.limiter.may_send("e", 1, self._sharing_hosts(host), wall):
            host.limiter.record_sent("e")
            self.sent += 1
            self.record.record_arrival(host.name, self.now)
            rate = self.rate if self.names_limit else None
            delay = self.random.choice((0.02, 0.05, 0.3))
            host.responses.append((self.now + delay, wall, rate))

    def _sharing_hosts(self, host: SimulatedHost) -> set[str]:
        if self.now < host.started_at + SHARING_DELAY_SECONDS:
            return set()
        is_alone = self.now < host.cut_until and (
            self.now > host.cut_since + KNOWN_HOST_RETENTION_SECONDS
        )
        return {host.name} if is_alone else host.known

    def _receive(self, host: SimulatedHost, sent_at: float, rate: float | None):
        if rate is not None:
            self.record.record_told(host.name, self.now)
        wall = self.now + host.clock_offset
        fact = host.limiter.observe("e", 1, rate, sent_at=sent_at, now=wall)
        if fact is None:
            return
        host.limiter.apply(fact, wall)
        self._publish(host, fact)

    def _publish(self, host: SimulatedHost, fact) -> None:
        if self.now < host.cut_until:
            return
        newest = self.newest_facts.get("e")
        if newest is None or newest.version < fact.version:
            self.newest_facts["e"] = fact
        for name in self.hosts:
            delay = self.random.uniform(0.0, self.gossip_seconds)
            self.facts.append((self.now + delay, name, fact))

    def _deliver_facts(self) -> None:
        due = [entry for entry in self.facts if entry[0] <= self.now]
        self.facts = [entry for entry in self.facts if entry[0] > self.now]
        for _, name, fact in due:
            host = self.hosts.get(name)
            if host is None or host.is_down or self.now < host.frozen_until:
                continue
            if self.now >= host.cut_until:
                self._apply(host, fact)

    def _apply(self, host: SimulatedHost, fact) -> None:
        known = getattr(host, "newest", None)
        if known is None or known < fact.version:
            host.newest = fact.version
            host.limiter.apply(fact, self.now + host.clock_offset)

    def _inject_fault(self) -> None:
        host = self.random.choice(list(self.hosts.values()))
        seconds = self.random.choice((0.5, 3.0, 8.0, 20.0))
        match self.random.randrange(6):
            case 0:
                self._restart(host)
            case 1:
                host.frozen_until = max(host.frozen_until, self.now + seconds)
                self.record.excuse(host.name, self.now, self.now + seconds)
            case 2:
                host.cut_since, host.cut_until = self.now, self.now + seconds
                self.record.excuse(host.name, self.now, host.cut_until)
            case 3:
                self._add_host()
            case 4:
                if len(self.hosts) > 2:
                    del self.hosts[host.name]
            case 5:
                for other in list(self.hosts.values()):
                    if self.random.random() < 0.6:
                        self._restart(other)

    def _restart(self, host: SimulatedHost) -> None:
        back_at = self.now + RESTART_SECONDS
        self.record.excuse(host.name, self.now, back_at)
        known = set(self.hosts) | {host.name}
        self.hosts[host.name] = self._new_host(host.name, known, back_at)
        self.hosts[host.name].frozen_until = back_at
        self._send_newest_fact(host.name)

    def _add_host(self) -> None:
        name = f"host-{self.next_host}"
        self.next_host += 1
        self.record.excuse(name, self.now, self.now)
        for other in self.hosts.values():
            other.known = other.known | {name}
        new = self._new_host(name, {*self.hosts, name}, self.now)
        self.hosts[name] = new
        self._send_newest_fact(name)

    def _send_newest_fact(self, name: str) -> None:
        """Let a host that starts hear the newest fact from its peers."""
        fact = self.newest_facts.get("e")
        if fact is not None:
            delay = RESTART_SECONDS + self.random.uniform(0.0, self.gossip_seconds)
            self.facts.append((self.now + delay, name, fact))
