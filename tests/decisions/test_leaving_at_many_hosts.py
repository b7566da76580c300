"""Endpoints that say that they leave, at sites with few and many hosts."""

from __future__ import annotations

from random import Random

import pytest

from amaranthhollow.decisions.endpoint_statements import EndpointStatements

TICK_SECONDS = 0.02
DRAIN_SECONDS = 4.0
REQUESTS_PER_SECOND = 3.0
# Every host hears a fact within this time, unless it is disturbed.
GOSSIP_SECONDS = {8: 0.6, 90: 2.0}
MAX_FAULT_SECONDS = 6.0


class LeavingSite:
    """Hosts that send to one endpoint as long as they may, and the operators' rule.

    A host that has passed on that the endpoint leaves sends it nothing later than the
    drain time. A restart or a freeze since then excuses the host.
    """

    def __init__(self, hosts, seed):
        self.random = Random(seed)
        self.gossip_seconds = GOSSIP_SECONDS[hosts]
        self.statements = [EndpointStatements() for _ in range(hosts)]
        self.told_at = [float("inf")] * hosts
        self.disturbed_until = [0.0] * hosts
        self.cut_until = [0.0] * hosts
        self.on_the_way = []
        self.sent = []
        self.now = 0.0
        self.incarnation = 1
        self.leaving_incarnation = 0

    def run(self, seconds, fault_rate):
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += TICK_SECONDS
            if self.random.random() < fault_rate * TICK_SECONDS:
                self.disturb()
            self.deliver_facts()
            for host in range(len(self.statements)):
                if self.random.random() < REQUESTS_PER_SECOND * TICK_SECONDS:
                    self.send(host)

    def disturb(self):
        host = self.random.randrange(len(self.statements))
        until = self.now + self.random.uniform(0.1, MAX_FAULT_SECONDS)
        if self.random.random() < 0.5:
            self.cut_until[host] = until
            return
        self.disturbed_until[host] = until
        self.told_at[host] = float("inf")
        if self.random.random() < 0.5:
            self.statements[host] = EndpointStatements()

    def deliver_facts(self):
        waiting = []
        for at, host, fact in self.on_the_way:
            if at > self.now or self.cut_until[host] > self.now:
                waiting.append((at, host, fact))
            elif self.disturbed_until[host] <= self.now:
                self.statements[host].apply(fact)
        self.on_the_way = waiting

    def send(self, host):
        statements = self.statements[host]
        if self.disturbed_until[host] > self.now:
            return
        if statements.is_leaving("e", self.incarnation):
            return
        self.sent.append((self.now, host))
        if self.leaving_incarnation < self.incarnation:
            return
        if self.told_at[host] == float("inf"):
            self.told_at[host] = self.now
        fact = statements.leaving_fact("e", self.incarnation)
        statements.apply(fact)
        for other in range(len(self.statements)):
            delay = self.random.uniform(0.0, self.gossip_seconds)
            self.on_the_way.append((self.now + delay, other, fact))

    def late_requests(self):
        return [
            (at, host)
            for at, host in self.sent
            if at > self.told_at[host] + DRAIN_SECONDS
        ]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("hosts", [8, 90])
def test_leaving_endpoint_gets_nothing_after_the_drain_time(hosts, seed):
    site = LeavingSite(hosts, seed)
    site.run(3.0, fault_rate=0.5)
    site.leaving_incarnation = site.incarnation
    site.run(15.0, fault_rate=2.0)

    assert site.sent
    assert not site.late_requests()


# Each host had to hear from the endpoint itself that it leaves.
@pytest.mark.parametrize("hosts", [8, 90])
def test_few_hosts_send_to_an_endpoint_after_another_was_told(hosts):
    site = LeavingSite(hosts, seed=1)
    site.run(1.0, fault_rate=0.0)
    site.leaving_incarnation, named_at = site.incarnation, site.now
    site.run(10.0, fault_rate=0.0)

    told = [at for at in site.told_at if at < float("inf")]
    assert max(told) <= named_at + 1.0 + GOSSIP_SECONDS[hosts]
    assert not [at for at, _ in site.sent if at > max(told)]


@pytest.mark.parametrize("hosts", [8, 90])
def test_endpoint_that_started_again_gets_requests_of_all_hosts(hosts):
    site = LeavingSite(hosts, seed=1)
    site.leaving_incarnation = site.incarnation
    site.run(5.0, fault_rate=0.0)
    site.incarnation += 1
    started_at = site.now
    site.run(5.0, fault_rate=0.0)

    hosts_since = {host for at, host in site.sent if at > started_at}
    assert hosts_since == set(range(hosts))
