"""Origins of streams: who holds them, and what may be concluded without them."""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.stream_origins import (
    MAX_ORIGINS,
    HolderTable,
    OriginTable,
    SeenVersions,
    StreamOrigin,
    VersionHistory,
    resumable_version,
    stream_lifetime,
)

pytestmark = pytest.mark.invariant

LIFETIME = stream_lifetime(10.0)


def seen(*versions, is_complete=True):
    return SeenVersions(frozenset(versions), is_complete)


def only_version(*found, is_cut_off=False):
    return resumable_version(found, is_cut_off=is_cut_off)


def history_of(*observations, is_first_start=True):
    history = VersionHistory(is_first_start=is_first_start)
    for at, versions in observations:
        history.observe({"model": set(versions)}, at)
    return history


def steady(start, end, versions, step=0.5):
    count = int((end - start) / step)
    return [(start + index * step, versions) for index in range(count + 1)]


def test_origin_belongs_to_its_service_and_expires():
    table = OriginTable()
    table.record("r1", StreamOrigin("model", "v1", 50.0))

    assert table.find("r1", "model") == "v1"
    assert table.find("r1", "other") is None
    table.expire(50.0)
    assert len(table) == 0


def test_oldest_origins_are_dropped_beyond_the_bound():
    table = OriginTable()
    for number in range(MAX_ORIGINS + 1):
        table.record(f"r{number}", StreamOrigin("model", "v1", 50.0))

    assert len(table) == MAX_ORIGINS
    assert table.find("r0", "model") is None


@given(
    st.dictionaries(st.text(max_size=4), st.sampled_from("abcd"), max_size=90),
    st.text(max_size=8),
)
@settings(max_examples=200, derandomize=True, database=None)
def test_holders_are_in_as_many_data_centres_as_possible(data_centres, request_id):
    table = HolderTable()
    table.holders(request_id, {"gone": "a", **data_centres})
    chosen = table.holders(request_id, data_centres)

    assert len(chosen) == len(set(chosen)) == min(4, len(data_centres))
    spread = {data_centres[host] for host in chosen}
    assert len(spread) == min(4, len(set(data_centres.values())))


def test_only_version_of_a_complete_history_may_have_begun_a_stream():
    history = history_of(*steady(10.0, 100.0, {"v1"}))

    assert history.seen("model", 100.0 - LIFETIME, 100.5) == seen("v1")
    assert only_version(history.seen("model", 70.0, 100.5)) == "v1"


# A version that left a moment ago was forgotten, and its streams went on at the next.
@pytest.mark.parametrize(("age", "is_known"), [(1.0, True), (LIFETIME + 5.0, False)])
def test_version_that_left_counts_for_the_lifetime_of_its_streams(age, is_known):
    left_at = 200.0
    history = history_of(
        *steady(100.0, left_at, {"v1"}), *steady(left_at, left_at + age, {"v2"})
    )
    now = left_at + age
    found = history.seen("model", now - LIFETIME, now)

    assert ("v1" in found.versions) is is_known


def test_history_is_incomplete_for_a_lifetime_after_a_restart():
    history = history_of(*steady(100.0, 120.0, {"v1"}), is_first_start=False)
    assert not history.seen("model", 120.0 - LIFETIME, 120.0).is_complete
    for at, versions in steady(120.0, 140.0, {"v1"}):
        history.observe({"model": versions}, at)

    assert history.seen("model", 140.0 - LIFETIME, 140.0).is_complete


# A host that was cut off did not see a release, and took one version for the only one.
def test_history_is_incomplete_without_recent_confirmation_and_after_a_gap():
    history = history_of(*steady(10.0, 100.0, {"v1"}))
    assert not history.seen("model", 70.0, 103.0).is_complete
    history.observe({"model": {"v1"}}, 110.0)

    assert not history.seen("model", 110.0 - LIFETIME, 110.0).is_complete


def test_only_version_needs_one_complete_history_and_no_other_version():
    assert only_version(seen("v1")) == "v1"
    assert only_version(seen("v1"), seen("v1", is_complete=False)) == "v1"
    assert only_version(seen("v1"), seen("v2", is_complete=False)) is None
    assert only_version(seen("v1", is_complete=False)) is None
    assert only_version(seen("v1", "v2")) is None
    assert only_version() is None


# A host that had just been cut off did not know of a version released since.
def test_host_that_reaches_no_peer_takes_no_version_for_the_only_one():
    assert only_version(seen("v1"), is_cut_off=True) is None


# After a loss of all hosts, none knew which versions there had been before.
@pytest.mark.parametrize("is_adopted_first", [True, False])
@pytest.mark.parametrize(("gap", "is_complete"), [(4.0, True), (16.0, False)])
def test_adopted_history_is_complete_unless_lists_were_missed(
    is_adopted_first, gap, is_complete
):
    history = VersionHistory(is_first_start=False)
    if not is_adopted_first:
        history.observe({"model": {"v1"}}, 100.0 + gap)
    history.adopt({"model": ("v1", "v2")}, 100.0, complete_since=10.0)
    history.observe({"model": {"v1"}}, 100.0 + gap)
    now = 100.5 + gap

    found = history.seen("model", now - LIFETIME, now)
    assert found == seen("v1", "v2", is_complete=is_complete)


def test_adopted_history_does_not_fill_a_later_gap():
    history = VersionHistory(is_first_start=False)
    history.observe({"model": {"v1"}}, 100.0)
    history.observe({"model": {"v1"}}, 110.0)
    history.adopt({"model": ("v1",)}, 99.0, complete_since=10.0)

    assert not history.seen("model", 80.0, 110.0).is_complete


# ORDER: a host that had stood still went on with a stream at another version, since it
# had never seen the version that began it.
def test_version_that_may_have_come_and_gone_between_two_lists_is_not_ruled_out():
    history = VersionHistory(is_first_start=True)
    history.observe({"m": {"v1"}}, 100.0)
    history.observe({"m": {"v1"}}, 104.5)
    alone = history.seen("m", 101.0, 104.6, is_alone=True)

    assert resumable_version([alone], is_cut_off=False) is None


# All hosts have such a gap while the store is down, and none can learn of a version.
def test_gap_of_all_hosts_leaves_their_histories_complete():
    histories = [VersionHistory(is_first_start=True) for _ in range(2)]
    for history in histories:
        history.observe({"m": {"v1"}}, 60.0)
        for at in (64.0, 66.0, 68.0, 72.5):
            history.observe({"m": {"v1"}}, at)
    own, other = histories
    found = [own.seen("m", 70.0, 72.6, is_alone=True), other.seen("m", 70.0, 72.6)]

    assert resumable_version(found, is_cut_off=False) == "v1"
