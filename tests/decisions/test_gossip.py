"""Gossip: newest versions win, messages are bounded, all members converge."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.gossip import (
    MAX_MESSAGE_BYTES,
    Fact,
    GossipTable,
    PeerRotation,
    Version,
    select_exchange_peers,
    select_peers,
)
from amaranthhollow.decisions.membership import (
    DaemonInfo,
    DaemonStatus,
    Membership,
    host_list_interval,
)

pytestmark = pytest.mark.invariant

FACTS = st.lists(
    st.builds(
        Fact,
        kind=st.just("k"),
        name=st.sampled_from("abc"),
        version=st.builds(Version, st.integers(0, 3), st.integers(0, 3)),
        value=st.just(b""),
    ),
    max_size=12,
)


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(facts=FACTS, seed=st.integers(0, 99))
def test_merge_is_independent_of_order_and_repetition_of_facts(facts, seed):
    shuffled = facts * 2
    Random(seed).shuffle(shuffled)
    first, second = GossipTable("a"), GossipTable("b")
    first.merge(facts, 2)
    second.merge(shuffled, 2)
    assert first.compose_message().digests == second.compose_message().digests


def table_with(count, owner="a"):
    table = GossipTable(owner)
    value = b"x" * 60
    table.merge([Fact("k", f"n{i}", Version(1), value) for i in range(count)], 9)
    return table


def test_message_does_not_exceed_maximum_size():
    import msgspec

    message = table_with(1000).compose_message()
    assert len(msgspec.msgpack.encode(message)) <= MAX_MESSAGE_BYTES


def test_empty_table_receives_all_facts_by_exchanges():
    full, empty = table_with(200), GossipTable("b")
    for _ in range(40):
        reply = full.compose_message(empty.compose_message())
        empty.merge(reply.facts, 2)
    assert len(empty) == 200


def test_removed_fact_is_not_merged_again_at_same_version():
    table = table_with(1)
    fact = table.get("k", "n0")
    table.remove("k", "n0")
    assert table.merge([fact], 2) == []
    assert table.merge([Fact("k", "n0", Version(2), b"")], 2)


def test_selected_peers_are_distinct():
    chosen = select_peers(["a", "b", "c"], 5, Random(1).randrange)
    assert sorted(chosen) == ["a", "b", "c"]


def info(address="127.0.0.1"):
    return DaemonInfo(address, "dc-1", DaemonStatus.ALIVE)


def members(count):
    members_by_host = {f"h{n}": Membership(f"h{n}", 1, info()) for n in range(count)}
    for member in members_by_host.values():
        for host in members_by_host:
            if host not in member.infos_by_host():
                member.add_listed(host, info(), 0.0)
    return members_by_host


def exchange(first, second, now):
    request = first.table.compose_message()
    second.merge(request.facts, now)
    reply = second.table.compose_message(request)
    first.merge(reply.facts, now)
    second.merge(first.table.compose_message(reply).facts, now)


def test_suspected_daemon_refutes_suspicion_and_stays_member():
    members_by_host = members(3)
    members_by_host["h0"].record_exchange_failure("h1", 10.0)
    exchange(members_by_host["h0"], members_by_host["h2"], 10.1)
    assert members_by_host["h2"].info("h1").status is DaemonStatus.SUSPECTED
    exchange(members_by_host["h2"], members_by_host["h1"], 10.2)
    exchange(members_by_host["h1"], members_by_host["h0"], 10.3)
    assert members_by_host["h0"].info("h1").status is DaemonStatus.ALIVE
    assert members_by_host["h0"].expire_suspicions(60.0) == []


def test_unreachable_daemon_is_lost_after_deadline_despite_outdated_host_list():
    members_by_host = members(3)
    members_by_host["h0"].record_exchange_failure("h1", 10.0)
    assert members_by_host["h0"].expire_suspicions(12.9) == []
    assert members_by_host["h0"].expire_suspicions(13.0) == ["h1"]
    members_by_host["h0"].add_listed("h1", info(), 14.0)
    assert "h1" not in members_by_host["h0"].hosts


def test_restarted_daemon_is_a_member_again():
    members_by_host = members(2)
    members_by_host["h0"].record_exchange_failure("h1", 10.0)
    members_by_host["h0"].expire_suspicions(20.0)
    restarted = Membership("h1", 2, info())
    exchange(restarted, members_by_host["h0"], 21.0)
    assert members_by_host["h0"].info("h1").status is DaemonStatus.ALIVE


def test_partitioned_daemons_become_members_again_after_partition():
    members_by_host = members(6)
    random = Random(3)
    for number in range(200):
        is_partitioned = number < 60
        for host, member in members_by_host.items():
            selected_peers = select_exchange_peers(
                member.peers, member.lost_hosts, 2, random
            )
            for selected_peer in selected_peers:
                if is_partitioned and (host < "h3") != (selected_peer < "h3"):
                    member.record_exchange_failure(selected_peer, float(number))
                else:
                    exchange(member, members_by_host[selected_peer], float(number))
            member.expire_suspicions(float(number))
        if number == 59:
            assert all(len(member.hosts) == 3 for member in members_by_host.values())
    assert all(len(member.hosts) == 6 for member in members_by_host.values())


def test_host_list_read_rate_stays_bounded_as_daemons_are_added():
    assert host_list_interval(9) == 1.0
    assert 370 / host_list_interval(370) == 16.0


def test_draining_daemon_that_does_not_answer_is_lost_immediately():
    members_by_host = members(2)
    members_by_host["h1"].drain()
    exchange(members_by_host["h1"], members_by_host["h0"], 10.0)
    assert members_by_host["h0"].active_hosts == ["h0"]
    members_by_host["h0"].record_exchange_failure("h1", 11.0)
    assert members_by_host["h0"].hosts == ["h0"]


def test_rotation_selects_each_peer_within_ten_rounds():
    """Independent random selection can leave out some of 58 peers for seconds.

    Such peers look as if they were lost.
    """
    peers = [f"host-{number}" for number in range(58)]
    rotation = PeerRotation(Random(3))
    rounds = [rotation.select(peers, 12) for _ in range(200)]

    for first in range(0, 190):
        selected = {peer for chosen in rounds[first : first + 10] for peer in chosen}
        assert selected == set(peers)
    assert all(len(set(chosen)) == 12 for chosen in rounds)


def test_rotation_handles_added_and_removed_peers():
    rotation = PeerRotation(Random(3))
    assert len(rotation.select(["a", "b", "c"], 2)) == 2
    assert set(rotation.select(["d"], 2)) == {"d"}
    assert rotation.select([], 2) == []
    assert set(rotation.select(["a", "d"], 12)) == {"a", "d"}
