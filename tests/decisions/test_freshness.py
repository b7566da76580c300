"""Freshness of the configuration, with peer messages delayed and out of order."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from amaranthhollow.decisions.freshness import Freshness, freshness_from_peer
from amaranthhollow.state.site_state import SiteDecoders, SiteState

# The monotonic clock of each host has an arbitrary origin.
CLOCK_OFFSET_BY_HOST = {"a": 0.0, "b": 1_000.0, "c": -70.0}
HOSTS = tuple(CLOCK_OFFSET_BY_HOST)
DELAY = st.floats(0.01, 3.0)


@dataclass(frozen=True)
class Configuration:
    version: int


@dataclass
class Read:
    requested_at: float
    value: bytes


@dataclass
class Echo:
    peer: str
    requested_at: float
    version: int
    age: float


@dataclass
class Fetch:
    peer: str
    confirmed_at: float


class FreshnessMachine(RuleBasedStateMachine):
    """An operator, a store, and hosts whose messages take arbitrary time."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.versions = [(0.0, 1)]
        decoders = SiteDecoders(lambda value: Ok(Configuration(int(value))), None)
        self.sites = {host: SiteState(decoders) for host in HOSTS}
        self.reads, self.echoes, self.fetches = {}, {}, {}
        for host, site in self.sites.items():
            site.apply_configuration(b"1", self.local(host))

    def local(self, host):
        return self.now + CLOCK_OFFSET_BY_HOST[host]

    def newest_at(self, instant):
        return max(version for at, version in self.versions if at <= instant)

    @rule(seconds=DELAY)
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def operator_writes(self):
        self.versions.append((self.now, self.versions[-1][1] + 1))

    @rule(host=st.sampled_from(HOSTS), before=DELAY, writes=st.booleans())
    def store_is_read(self, host, before, writes):
        """The answer is pending until it arrives or a later read replaces it."""
        requested_at = self.local(host)
        self.now += before
        if writes:
            self.operator_writes()
        self.reads[host] = Read(requested_at, b"%d" % self.versions[-1][1])

    @rule(host=st.sampled_from(HOSTS))
    def read_answer_arrives(self, host):
        read = self.reads.pop(host, None)
        if read is not None:
            self.sites[host].apply_configuration(read.value, read.requested_at)

    @rule(host=st.sampled_from(HOSTS), peer=st.sampled_from(HOSTS), before=DELAY)
    def a_peer_is_pinged(self, host, peer, before):
        if host == peer:
            return
        requested_at = self.local(host)
        self.now += before
        site = self.sites[peer]
        age = site.configuration_freshness.age(self.local(peer))
        if age != float("inf"):
            self.echoes[host] = Echo(peer, requested_at, site.version, age)

    @rule()
    def echoes_arrive(self):
        for host, echo in self.echoes.items():
            freshness = freshness_from_peer(echo.requested_at, echo.age)
            site = self.sites[host]
            if echo.version > site.version:
                self.fetches[host] = Fetch(echo.peer, freshness.confirmed_at)
            site.confirm_configuration(echo.version, freshness)
        self.echoes.clear()

    @rule()
    def documents_arrive(self):
        for host, fetch in self.fetches.items():
            peer = self.sites[fetch.peer]
            if peer.configuration is not None:
                value = peer.configuration_value
                self.sites[host].apply_configuration(value, fetch.confirmed_at)
        self.fetches.clear()

    @rule(host=st.sampled_from(HOSTS))
    def a_host_restarts(self, host):
        self.sites[host] = SiteState(self.sites[host]._decoders)
        for messages in (self.reads, self.echoes, self.fetches):
            messages.pop(host, None)

    @invariant()
    def confirmed_version_was_the_newest(self):
        for host, site in self.sites.items():
            confirmed_at = site.configuration_freshness.confirmed_at
            if confirmed_at is not None:
                instant = confirmed_at - CLOCK_OFFSET_BY_HOST[host] - 1e-6
                assert instant < 0 or site.version >= self.newest_at(instant)


TestFreshness = FreshnessMachine.TestCase
TestFreshness.settings = settings(
    max_examples=200, stateful_step_count=60, deadline=None, derandomize=True
)


def test_more_recent_confirmation_is_kept():
    assert Freshness(5.0).refreshed(4.0) == Freshness(5.0)
    assert Freshness(5.0).refreshed(6.0) == Freshness(6.0)
    assert Freshness().age(1.0) == float("inf")
