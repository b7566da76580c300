"""Which form of messages each peer is sent."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthhollow.decisions.peer_protocols import PeerProtocol, PeerProtocols

EARLIER, CURRENT = PeerProtocol.WHOLE_REPORTS, PeerProtocol.REPORT_CHANGES
HOSTS = ("a", "b", "c")


def test_host_that_has_not_been_heard_is_addressed_in_all_forms():
    assert PeerProtocols().forms_for("a") == (CURRENT, EARLIER)


def test_earlier_form_of_a_process_does_not_hide_its_own():
    protocols = PeerProtocols()
    protocols.record("a", 7, CURRENT)
    protocols.record("a", 7, EARLIER)

    assert protocols.forms_for("a") == (CURRENT,)


def test_rolled_back_host_is_addressed_in_its_form():
    protocols = PeerProtocols()
    protocols.record("a", 7, CURRENT)
    protocols.record("a", 8, EARLIER)
    protocols.record("a", 7, CURRENT)

    assert protocols.forms_for("a") == (EARLIER,)
    assert (protocols.hosts_of(EARLIER), protocols.hosts_of(CURRENT)) == (["a"], [])


def test_forgotten_host_is_addressed_in_all_forms():
    protocols = PeerProtocols()
    protocols.record("a", 7, CURRENT)
    protocols.forget("a")

    assert protocols.forms_for("a") == (CURRENT, EARLIER)


class UpgradeMachine(RuleBasedStateMachine):
    """Hosts that are upgraded, rolled back and lost, and ping each other.

    A process of the earlier version reads its own form only, and sends no other.
    """

    def __init__(self):
        super().__init__()
        self.incarnations = dict.fromkeys(HOSTS, 1)
        self.builds = dict.fromkeys(HOSTS, EARLIER)
        self.tables = {host: PeerProtocols() for host in HOSTS}
        self.lost = set()
        self.clock = 1

    @rule(host=st.sampled_from(HOSTS), build=st.sampled_from(PeerProtocol))
    def replace(self, host, build):
        self.clock += 1
        self.incarnations[host] = self.clock
        self.builds[host] = build
        self.tables[host] = PeerProtocols()
        self.lost.discard(host)

    @rule(host=st.sampled_from(HOSTS))
    def lose(self, host):
        self.lost.add(host)

    @rule(loses_first=st.booleans())
    def exchange(self, loses_first):
        """Let each host ping each other once; an unanswered one is forgotten."""
        for host in set(HOSTS) - self.lost:
            for peer in set(HOSTS) - {host}:
                self.ping(host, peer, loses_first=loses_first)

    def ping(self, host, peer, *, loses_first=False):
        forms = (
            self.tables[host].forms_for(peer)
            if self.builds[host] is CURRENT
            else (EARLIER,)
        )
        read = [f for f in forms[loses_first:] if f is self.builds[peer]]
        if peer in self.lost or not read:
            self.tables[host].forget(peer)
            return False
        # A ping in the earlier form names the protocol that its sender prefers.
        self.tables[peer].record(host, self.incarnations[host], self.builds[host])
        self.tables[host].record(peer, self.incarnations[peer], self.builds[peer])
        return True

    @invariant()
    def hosts_are_reached_again_within_two_pings(self):
        for host in set(HOSTS) - self.lost:
            if self.builds[host] is not CURRENT:
                continue
            for peer in set(HOSTS) - self.lost - {host}:
                assert self.ping(host, peer) or self.ping(host, peer)


TestUpgradeMachine = UpgradeMachine.TestCase
TestUpgradeMachine.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
)
