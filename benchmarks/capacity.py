"""Measures gossip, routing, limits and memory at 9 to 370 daemons.

Runs the decisions directly, without processes or a network, for up to 630 endpoints.
Prints bytes, processor time, rounds to convergence and memory; checks no bound.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.choice import EndpointChooser, EndpointLoad
from amaranthhollow.decisions.endpoints import (
    EndpointTable,
    ListedEndpoint,
    endpoint_fact,
)
from amaranthhollow.decisions.gossip import (
    LOAD_FACT,
    Fact,
    Version,
    select_exchange_peers,
)
from amaranthhollow.decisions.membership import (
    DAEMON_FACT,
    DaemonInfo,
    DaemonStatus,
    Membership,
)
from amaranthhollow.decisions.prompts import shape_from_text
from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter
from amaranthhollow.decisions.site import Quota

if TYPE_CHECKING:
    from collections.abc import Callable

__all__: list[str] = []

SEED = 11
FANOUT = 2
EXCHANGE_SECONDS = 0.5
MEMBER_COUNTS = (9, 50, 150, 370)
ENDPOINT_COUNTS = (13, 100, 630)
MEASURED_ROUNDS = 10
MAX_ROUNDS = 200
LOADS_CHANGED_PER_SECOND = 0.1


class GossipGroup:
    """Daemons that gossip in rounds; counts bytes, exchanges and processor time."""

    def __init__(self, count: int, endpoint_count: int) -> None:
        self.random = Random(SEED)
        self.members = {f"h{n:03}": self.create_member(n) for n in range(count)}
        self.bytes = 0
        self.exchanges = 0
        self.seconds = 0.0
        self.stopped_hosts: set[str] = set()
        self.is_partitioned: Callable[[str, str], bool] = lambda a, b: False
        facts = [m.table.get(DAEMON_FACT, h) for h, m in self.members.items()]
        facts += [endpoint_fact(endpoint(n)) for n in range(endpoint_count)]
        facts += [load_fact(n, 0, 1) for n in range(endpoint_count)]
        for member in self.members.values():
            member.merge(facts, 0.0)

    def create_member(self, number: int) -> Membership:
        info = DaemonInfo(f"10.0.{number // 250}.{number % 250}", "dc", DaemonStatus(0))
        return Membership(f"h{number:03}", 1, info)

    def converge(self) -> None:
        """Run rounds until all new facts have been sent."""
        for number in range(40):
            self.run_round(float(number))

    def run_round(self, now: float) -> None:
        """Let each daemon exchange facts with ``FANOUT`` peers."""
        for host, member in self.members.items():
            if host in self.stopped_hosts:
                continue
            lost = member.lost_hosts
            for peer in select_exchange_peers(member.peers, lost, FANOUT, self.random):
                self._exchange(host, peer, now)
            member.expire_suspicions(now)

    def _exchange(self, host: str, peer: str, now: float) -> None:
        member, other = self.members[host], self.members[peer]
        if peer in self.stopped_hosts or self.is_partitioned(host, peer):
            member.record_exchange_failure(peer, now)
            return
        started_at = time.process_time()
        request = msgspec.msgpack.encode(member.table.compose_message())
        received = msgspec.msgpack.decode(
            request, type=type(member.table.compose_message())
        )
        other.merge(received.facts, now)
        response = other.table.compose_message(received)
        reply = msgspec.msgpack.encode(response)
        member.merge(response.facts, now)
        sent = len(request) + len(reply)
        if response.differing:
            requested = member.table.compose_message(response)
            if requested.facts:
                sent += len(msgspec.msgpack.encode(requested))
                other.merge(requested.facts, now)
        self.seconds += time.process_time() - started_at
        self.bytes += sent
        self.exchanges += 1

    def reset_counters(self) -> None:
        """Reset the counters."""
        self.bytes = self.exchanges = 0
        self.seconds = 0.0

    def rounds_until(
        self, condition: Callable[[Membership], bool], start: float
    ) -> int:
        """Return the rounds until ``condition`` is true of all running daemons."""
        for number in range(1, MAX_ROUNDS):
            self.run_round(start + number * EXCHANGE_SECONDS)
            running = (
                m for h, m in self.members.items() if h not in self.stopped_hosts
            )
            if all(condition(member) for member in running):
                return number
        return MAX_ROUNDS


def endpoint(number: int) -> ListedEndpoint:
    """Return an endpoint as the host list describes it."""
    return ListedEndpoint(
        host=f"engine-{number:04}",
        incarnation=1,
        address=f"10.1.{number // 250}.{number % 250}",
        port=9000,
        data_centre=f"dc-{number % 7}",
        deployment="drafting",
    )


def load_fact(number: int, requests: int, version: int) -> Fact:
    """Return the fact that holds a load report."""
    value = msgspec.msgpack.encode({f"engine-{number:04}": EndpointLoad(requests, 0)})
    return Fact(LOAD_FACT, f"engine-{number:04}", Version(version), value)


def report_gossip() -> None:
    """Print bytes, time and convergence of gossip at several sizes."""
    print("gossip, with 1.7 endpoints a daemon")
    for count in MEMBER_COUNTS:
        endpoint_count = int(count * 1.7)
        group = GossipGroup(count, endpoint_count)
        group.converge()
        group.reset_counters()
        for number in range(MEASURED_ROUNDS):
            group.run_round(100.0 + number)
        print(f"  {count:4} daemons, quiet: {describe_cost(group, MEASURED_ROUNDS)}")
        group.reset_counters()
        run_busy_rounds(group, endpoint_count)
        print(f"  {count:4} daemons, busy: {describe_cost(group, MEASURED_ROUNDS)}")
        print(f"  {count:4} daemons, {describe_propagation(group)}")


def run_busy_rounds(group: GossipGroup, endpoint_count: int) -> None:
    """Run rounds while load reports change at the daemons that poll them."""
    changes = max(1, int(endpoint_count * LOADS_CHANGED_PER_SECOND * EXCHANGE_SECONDS))
    hosts = list(group.members)
    for round_number in range(MEASURED_ROUNDS):
        for change in range(changes):
            number = (round_number * changes + change) % endpoint_count
            fact = load_fact(number, round_number, 10 + round_number)
            group.members[hosts[number % len(hosts)]].merge([fact], 0.0)
        group.run_round(200.0 + round_number)


def describe_cost(group: GossipGroup, rounds: int) -> str:
    """Describe the traffic and processor time of one daemon."""
    seconds = rounds * EXCHANGE_SECONDS * len(group.members)
    # Each exchange costs both ends; a daemon starts as many as it responds to.
    return (
        f"{2 * group.bytes / seconds / 1000:.2f} KB/s in and out a daemon, "
        f"{100 * group.seconds / seconds:.3f}% of a core, "
        f"{group.bytes / max(1, group.exchanges):.0f} bytes an exchange"
    )


def describe_propagation(group: GossipGroup) -> str:
    """Describe how fast a revision and the loss of a daemon propagate."""
    first = next(iter(group.members.values()))
    first.merge([Fact("configuration", "head", Version(2), b"x" * 120)], 0.0)
    revision = group.rounds_until(
        lambda m: m.table.get("configuration", "head") is not None, 300.0
    )
    lost = list(group.members)[1]
    group.stopped_hosts.add(lost)
    rounds = group.rounds_until(lambda m: lost not in m.hosts, 400.0)
    return (
        f"a revision reaches every daemon after {revision * EXCHANGE_SECONDS:.1f} s, "
        f"a lost daemon is detected by all after {rounds * EXCHANGE_SECONDS:.1f} s"
    )


def report_data_centre_loss() -> None:
    """Print the cost of losing a seventh of the daemons at once."""
    print("loss of a data centre (53 of 370 daemons at once)")
    group = GossipGroup(370, 630)
    group.converge()
    group.reset_counters()
    hosts = list(group.members)
    group.stopped_hosts.update(hosts[:53])
    rounds = group.rounds_until(
        lambda m: not group.stopped_hosts.intersection(m.hosts), 100.0
    )
    print(f"  detected by all after {rounds * EXCHANGE_SECONDS:.1f} s;", end=" ")
    print(describe_cost(group, rounds))


def report_partition() -> None:
    """Print the cost of recovering from a network partition between regions."""
    print("partition of one region of three (123 of 370 daemons), then recovery")
    group = GossipGroup(370, 630)
    group.converge()
    inside = set(list(group.members)[:123])
    group.is_partitioned = lambda a, b: (a in inside) != (b in inside)
    for number in range(40):
        group.run_round(100.0 + number * EXCHANGE_SECONDS)
    group.is_partitioned = lambda a, b: False
    group.reset_counters()
    rounds = group.rounds_until(lambda m: len(m.hosts) == 370, 200.0)
    print(f"  all are members again after {rounds * EXCHANGE_SECONDS:.1f} s;", end=" ")
    print(describe_cost(group, rounds))


def report_joining() -> None:
    """Print the cost of starting all daemons at once with only the host list."""
    print("start of all 370 daemons at once, each with the host list")
    group = GossipGroup(370, 0)
    members = {f"h{n:03}": group.create_member(n) for n in range(370)}
    for member in members.values():
        for host, other in members.items():
            info = other.info(host)
            member.add_listed(host, info, 0.0)
    group.members = members
    group.reset_counters()
    rounds = group.rounds_until(
        lambda m: all(
            f.version.incarnation for f in m.table.facts_of_kind(DAEMON_FACT)
        ),
        10.0,
    )
    print(
        f"  all incarnations exchanged after {rounds * EXCHANGE_SECONDS:.1f} s;",
        end=" ",
    )
    print(describe_cost(group, rounds))


def report_routing() -> None:
    """Print the cost of one routing decision at several sizes."""
    print("routing and limits, one decision")
    for count in ENDPOINT_COUNTS:
        table = EndpointTable()
        for number in range(count):
            table.apply(endpoint_fact(endpoint(number)), 0.0)
        chooser = EndpointChooser("dc-1", Random(1))
        rounds = 300
        started_at = time.process_time()
        for number in range(rounds):
            usable = table.usable("drafting", 1.0)
            shape = shape_from_text("drafting", f"prompt {number}")
            chosen = chooser.choose(usable, shape, (), 1.0)
            chooser.record_sent(chosen.host, shape)
        seconds = (time.process_time() - started_at) / rounds
        print(f"  {count:4} endpoints: {1e6 * seconds:.0f} us a choice")
    limiter, quota = QuotaLimiter(), Quota.of_requests(1000.0)
    started_at = time.process_time()
    for number in range(10_000):
        limiter.admit(f"w{number % 50}", quota, 1.0, HostCounts(), number / 1000)
    seconds = (time.process_time() - started_at) / 10_000
    print(f"  limits: {1e6 * seconds:.1f} us a request")


def report_memory() -> None:
    """Print the memory of one daemon's tables."""
    print("memory of one daemon's tables")
    for count in MEMBER_COUNTS:
        tracemalloc.start()
        group = GossipGroup(1, 0)
        member = next(iter(group.members.values()))
        table = EndpointTable()
        for number in range(count):
            info = DaemonInfo(f"10.0.0.{number}", "dc", DaemonStatus.ALIVE)
            member.add_listed(f"x{number}", info, 0.0)
        for number in range(int(count * 1.7)):
            fact = endpoint_fact(endpoint(number))
            member.merge([fact, load_fact(number, 1, 1)], 0.0)
            table.apply(fact, 0.0)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(f"  {count:4} daemons: {size / 1e6:.2f} MB")


REPORTS = {
    "gossip": report_gossip,
    "data-centre-loss": report_data_centre_loss,
    "parting": report_partition,
    "joining": report_joining,
    "routing": report_routing,
    "memory": report_memory,
}


def main() -> None:
    """Run the reports named on the command line, or all."""
    for name in sys.argv[1:] or REPORTS:
        REPORTS[name]()


main()
