"""State machine: a stream of unknown origin goes on only at its own version."""

from __future__ import annotations

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from amaranthhollow.decisions.stream_origins import (
    VersionHistory,
    resumable_version,
    stream_lifetime,
)

pytestmark = pytest.mark.invariant

HOSTS = ("a", "b", "c")
VERSIONS = ("v1", "v2", "v3")
LIFETIME = stream_lifetime(10.0)
STEP_SECONDS = 0.5
# An engine that left the list ends within this time.
LEAVING_SECONDS = 2.0
# Clients take a stream up within its deadline, and its retry.
MAX_STREAM_AGE_SECONDS = 24.0


class HistoryMachine(RuleBasedStateMachine):
    """Hosts that are cut off and restarted while versions come and go.

    No host knows the origin of any stream, as if all of its holders were lost.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.listed = {"v1"}
        self.left_at = {}
        self.histories = {h: VersionHistory(is_first_start=True) for h in HOSTS}
        for history in self.histories.values():
            history.observe({"m": self.listed}, self.now)
        self.views = {host: {"v1"} for host in HOSTS}
        self.cut = set()
        self.has_read = set(HOSTS)
        self.record = None
        self.streams = []

    @rule(seconds=st.sampled_from((0.5, 3.0, 8.0, 40.0)))
    def wait(self, seconds):
        for _ in range(int(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for host in set(HOSTS) - self.cut:
                self.views[host] = set(self.listed)
                self.histories[host].observe({"m": self.listed}, self.now)
            self.write_record()

    @rule(listed=st.sets(st.sampled_from(VERSIONS), min_size=1))
    def change_list(self, listed):
        for version in self.listed - listed:
            self.left_at[version] = self.now
        self.listed = listed
        for host in set(HOSTS) - self.cut:
            self.views[host] = set(listed)
            self.histories[host].observe({"m": listed}, self.now)

    @rule(host=st.sampled_from(HOSTS), data=st.data())
    def begin_stream(self, host, data):
        running = [
            version
            for version in sorted(self.views[host])
            if version in self.listed
            or self.now < self.left_at[version] + LEAVING_SECONDS
        ]
        if running:
            version = data.draw(st.sampled_from(running))
            self.streams.append((self.now, version))

    @rule(hosts=st.sets(st.sampled_from(HOSTS), min_size=1))
    def restart(self, hosts):
        for host in hosts:
            self.histories[host] = VersionHistory(is_first_start=False)
            self.views[host] = set()
            self.has_read.discard(host)

    @rule(host=st.sampled_from(HOSTS))
    def cut_off(self, host):
        self.cut.add(host)

    @rule()
    def heal(self):
        self.cut.clear()

    @rule(host=st.sampled_from(HOSTS))
    def take_up_streams(self, host):
        """Ask all hosts that can be reached, and read the record in the store."""
        reachable = {host} if host in self.cut else set(HOSTS) - self.cut
        if host not in self.cut:
            self.read_record(host)
        since = self.now - LIFETIME
        seen = [
            self.histories[h].seen("m", since, self.now, is_alone=h == host)
            for h in reachable
        ]
        found = resumable_version(seen, is_cut_off=host in self.cut)
        recent = [
            v for at, v in self.streams if at >= self.now - MAX_STREAM_AGE_SECONDS
        ]
        if found is not None:
            assert set(recent) <= {found}

    def read_record(self, host):
        if self.record is not None:
            self.histories[host].adopt(*self.record)
        self.has_read.add(host)

    def write_record(self):
        writers = sorted(set(HOSTS) - self.cut)
        if not writers:
            return
        history = self.histories[writers[0]]
        if writers[0] not in self.has_read:
            self.read_record(writers[0])
        if history.complete_since != float("inf"):
            versions = history.versions_since(self.now - LIFETIME)
            self.record = (versions, self.now, history.complete_since)


TestHistoryMachine = HistoryMachine.TestCase
TestHistoryMachine.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
)
