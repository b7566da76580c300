"""Gossip: newest versions win, messages stay bounded, everyone catches up."""

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
def test_order_and_repetition_of_facts_do_not_matter(facts, seed):
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


def test_message_stays_within_its_size():
    import msgspec

    message = table_with(1000).compose_message()
    assert len(msgspec.msgpack.encode(message)) <= MAX_MESSAGE_BYTES


def test_empty_table_catches_up_by_exchanges():
    full, empty = table_with(200), GossipTable("b")
    for _ in range(40):
        reply = full.compose_message(empty.compose_message())
        empty.merge(reply.facts, 2)
    assert len(empty) == 200


def test_forgotten_fact_is_not_learned_again():
    table = table_with(1)
    fact = table.get("k", "n0")
    table.remove("k", "n0")
    assert table.merge([fact], 2) == []
    assert table.merge([Fact("k", "n0", Version(2), b"")], 2)


def test_peers_are_distinct():
    chosen = select_peers(["a", "b", "c"], 5, Random(1).randrange)
    assert sorted(chosen) == ["a", "b", "c"]


def info(address="127.0.0.1"):
    return DaemonInfo(address, "dc-1", DaemonStatus.ALIVE)


def members(count):
    group = {f"h{n}": Membership(f"h{n}", 1, info()) for n in range(count)}
    for member in group.values():
        for host in group:
            if host not in member.infos_by_host():
                member.add_listed(host, info(), 0.0)
    return group


def exchange(first, second, now):
    request = first.table.compose_message()
    second.merge(request.facts, now)
    reply = second.table.compose_message(request)
    first.merge(reply.facts, now)
    second.merge(first.table.compose_message(reply).facts, now)


def test_suspected_daemon_refutes_and_stays():
    group = members(3)
    group["h0"].record_exchange_failure("h1", 10.0)
    exchange(group["h0"], group["h2"], 10.1)
    assert group["h2"].info("h1").status is DaemonStatus.SUSPECTED
    exchange(group["h2"], group["h1"], 10.2)
    exchange(group["h1"], group["h0"], 10.3)
    assert group["h0"].info("h1").status is DaemonStatus.ALIVE
    assert group["h0"].expire_suspicions(60.0) == []


def test_silent_daemon_is_lost_after_its_deadline_and_a_late_list_keeps_it_lost():
    group = members(3)
    group["h0"].record_exchange_failure("h1", 10.0)
    assert group["h0"].expire_suspicions(12.9) == []
    assert group["h0"].expire_suspicions(13.0) == ["h1"]
    group["h0"].add_listed("h1", info(), 14.0)
    assert "h1" not in group["h0"].hosts


def test_restarted_daemon_is_a_member_again():
    group = members(2)
    group["h0"].record_exchange_failure("h1", 10.0)
    group["h0"].expire_suspicions(20.0)
    restarted = Membership("h1", 2, info())
    exchange(restarted, group["h0"], 21.0)
    assert group["h0"].info("h1").status is DaemonStatus.ALIVE


def test_parted_regions_become_members_of_each_other_again():
    group = members(6)
    random = Random(3)
    for number in range(200):
        is_parted = number < 60
        for host, member in group.items():
            partners = select_exchange_peers(member.peers, member.lost_hosts, 2, random)
            for partner in partners:
                if is_parted and (host < "h3") != (partner < "h3"):
                    member.record_exchange_failure(partner, float(number))
                else:
                    exchange(member, group[partner], float(number))
            member.expire_suspicions(float(number))
        if number == 59:
            assert all(len(member.hosts) == 3 for member in group.values())
    assert all(len(member.hosts) == 6 for member in group.values())


def test_reads_of_the_host_list_stay_bounded_as_daemons_are_added():
    assert host_list_interval(9) == 1.0
    assert 370 / host_list_interval(370) == 16.0


def test_drained_daemon_that_no_longer_answers_is_lost_at_once():
    group = members(2)
    group["h1"].drain()
    exchange(group["h1"], group["h0"], 10.0)
    assert group["h0"].active_hosts == ["h0"]
    group["h0"].record_exchange_failure("h1", 11.0)
    assert group["h0"].hosts == ["h0"]


def test_each_peer_comes_up_within_a_turn():
    """Random choices leave some of 58 peers out for seconds, as if they were lost."""
    peers = [f"host-{number}" for number in range(58)]
    rotation = PeerRotation(Random(3))
    rounds = [rotation.select(peers, 12) for _ in range(200)]

    for first in range(0, 190):
        heard = {peer for chosen in rounds[first : first + 10] for peer in chosen}
        assert heard == set(peers)
    assert all(len(set(chosen)) == 12 for chosen in rounds)


def test_a_turn_goes_on_while_peers_come_and_go():
    rotation = PeerRotation(Random(3))
    assert len(rotation.select(["a", "b", "c"], 2)) == 2
    assert set(rotation.select(["d"], 2)) == {"d"}
    assert rotation.select([], 2) == []
    assert set(rotation.select(["a", "d"], 12)) == {"a", "d"}
