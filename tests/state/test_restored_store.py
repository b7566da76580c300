"""Clients of a store that returns from an older copy and gives revisions out again."""

from __future__ import annotations

import asyncio
import itertools

import pytest
from aiohttp import web
from result import Err

from amaranthhollow.decisions.claim_messages import GrantClaim, ReplayAnswer
from amaranthhollow.decisions.claim_records import (
    Answer,
    ClaimRecord,
    ClaimState,
    digest,
    shard_of,
)
from amaranthhollow.decisions.claim_restoration import GRANT_DELAY_SECONDS
from amaranthhollow.decisions.configuration import RevisionBody, encode_json
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.peers.claim_replies import ClaimOutcome
from amaranthhollow.platform.store import StoreClient, Write
from amaranthhollow.serving.http_client import HttpClient
from amaranthhollow.state.claim_store import ClaimStore
from amaranthhollow.state.configuration_store import Accepted, ConfigurationStore
from amaranthhollow.state.lease_store import NamedLease
from tests.networks import next_network
from tests.standins.store import StoreStandIn

PORT = 2380


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def address():
    return f"{next_network()}.2"


@pytest.fixture
async def store(address):
    """A store in its first era."""
    standin = StoreStandIn()
    runner = web.AppRunner(standin.build_app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, PORT).start()
    yield standin
    await runner.cleanup()


@pytest.fixture
def make_client(store, address):
    return lambda: StoreClient(HttpClient(address, PORT))


@pytest.fixture
def client(make_client):
    return make_client()


async def put(client, key, value, expected=None):
    written = await client.change({key: expected}, (Write(key, value),))
    assert not isinstance(written, Err), written.err_value
    return written.ok_value


async def test_position_rises_over_a_restore_although_the_revision_falls(client, store):
    copy = store.take_copy()
    before = await put(client, "a", b"1")
    store.restore(copy)
    (await client.get("a")).unwrap()
    after = await put(client, "b", b"2")

    assert after.revision <= before.revision
    assert after > before
    assert after.fencing_token > before.fencing_token


async def test_listeners_hear_of_each_new_era_once(client, store):
    eras = []
    client.add_restore_listener(lambda previous, era: eras.append((previous, era)))
    for _ in range(2):
        store.restore(store.take_copy())
        await client.get("a")
        await client.get("a")

    assert eras == [(0, 1), (1, 2)]


async def test_late_response_of_an_earlier_era_is_rejected(client, store):
    await put(client, "a", b"1")
    store.restore(store.take_copy())
    client.observe_era(1)
    store.faults["late_responses"] = 1

    assert isinstance(await client.get("a"), Err)
    assert (await client.get("a")).unwrap().value == b"1"


async def test_item_read_in_an_earlier_era_counts_as_changed(client, store):
    """Another client has changed the item, which has the same revision again."""
    copy = store.take_copy()
    position = await put(client, "a", b"ours")
    store.restore(copy)
    store.put("a", b"theirs")
    client.observe_era(1)
    written = await client.change({"a": position}, (Write("a", b"more"),))

    assert store.items["a"].revision == position.revision
    assert written.unwrap() is None
    assert store.items["a"].value == b"theirs"


async def test_change_during_a_restore_is_uncertain(client, store):
    store.restore(store.take_copy())
    written = await client.change({"a": None}, (Write("a", b"1"),))

    assert isinstance(written, Err)


async def test_lease_of_an_earlier_era_is_not_renewed_or_ended(client, store):
    """The store has granted a lease of the same number to another host since."""
    copy = store.take_copy()
    ours = (await client.grant(5.0)).unwrap()
    store.restore(copy)
    await client.get("a")
    theirs = (await client.grant(5.0)).unwrap()
    await client.change({}, (Write("theirs", b"", theirs.lease_id),))

    assert ours.lease_id == theirs.lease_id
    assert (await client.renew(ours)).unwrap() is False
    await client.end(ours)
    assert "theirs" in store.items


async def test_watch_of_an_earlier_era_ends(client, store):
    copy = store.take_copy()
    position = await put(client, "a", b"1")
    store.restore(copy)

    assert (await client.watch("a", position, 0.2)).unwrap() is None
    assert (await client.watch("a", position, 0.2)).unwrap() is None


async def test_named_lease_is_acquired_only_after_those_that_were_lost(
    make_client, store, clock
):
    copy = store.take_copy()
    client, other_client = make_client(), make_client()
    holder = NamedLease(client, "model", "host-1", clock)
    other = NamedLease(other_client, "model", "host-2", clock)
    await holder.acquire_or_renew()
    first_token = holder.held_lease.fencing_token
    store.restore(copy)
    await other_client.get("a")
    await other.acquire_or_renew()
    assert other.held_lease is None
    await holder.acquire_or_renew()
    assert holder.held_lease is None
    clock.now += 6.1
    await other.acquire_or_renew()

    assert other.held_lease.fencing_token > first_token


async def test_head_of_configuration_that_was_lost_is_stored_again(client, store):
    configuration = ConfigurationStore(client)
    copies, bodies = [], {}
    for number in range(2):
        copies.append(store.take_copy())
        body = RevisionBody({}, {}, "a", "", str(number))
        accepted = await configuration.submit(body, number, 1.0)
        assert isinstance(accepted, Accepted)
        bodies[accepted.entry.change_id] = encode_json(body)
    head = (await configuration.read_head()).unwrap()
    store.restore(copies[1])
    await client.get("a")

    assert await configuration.restore_head(head, bodies)
    assert (await configuration.read_head()).unwrap() == head
    assert not await configuration.restore_head(head, bodies)
    for entry in head.entries:
        assert (await configuration.read_body(entry.change_id)).is_ok()


def claim(name, number):
    return ClaimRecord(digest(name), digest("body"), f"c{number}", 5000.0)


async def test_claim_that_the_store_lost_is_answered_from_its_record(
    make_client, store, clock
):
    claims = ClaimStore(make_client(), clock)
    copy = store.take_copy()
    record = claim("k1", 1)
    assert isinstance(await claims.claim(record, 1010.0), GrantClaim)
    answer = Answer(201, "", b"done")
    claims.store_outcome(ClaimOutcome(record, ClaimState.ANSWERED, answer))
    clock.now += 1.0
    await asyncio.sleep(0.3)
    store.restore(copy)
    await claims._store.get("a")
    refused = await claims.claim(claim("k1", 2), 1010.0)
    clock.now += GRANT_DELAY_SECONDS
    await asyncio.sleep(0.5)
    other = ClaimStore(make_client(), clock)
    await other._store.get("a")
    clock.now += GRANT_DELAY_SECONDS
    repeat = await other.claim(claim("k1", 3), 1020.0)

    assert not isinstance(refused, GrantClaim)
    assert isinstance(repeat, ReplayAnswer)
    assert repeat.original.answer == answer


def test_fencing_token_keeps_its_position():
    for position in (StorePosition(0, 7), StorePosition(3, 0), StorePosition(8191, 9)):
        assert StorePosition.from_fencing_token(position.fencing_token) == position
    assert StorePosition(8191, 2**40 - 1).fencing_token < 2**53


def names_in_one_shard(count):
    names = (f"k{number}" for number in itertools.count())
    same = (name for name in names if shard_of(digest(name)) == 0)
    return list(itertools.islice(same, count))


async def test_daemon_that_missed_a_restore_overwrites_no_claim(
    make_client, store, clock
):
    """The head of the new era has the revision that the daemon expects."""
    first, second, third = names_in_one_shard(3)
    copy = store.take_copy()
    late, current, other = (ClaimStore(make_client(), clock) for _ in range(3))
    assert isinstance(await late.claim(claim(first, 1), 1010.0), GrantClaim)
    store.restore(copy)
    for claims in (current, other):
        await claims._store.get("a")
    clock.now += GRANT_DELAY_SECONDS
    granted = await current.claim(claim(second, 2), 1010.0)
    refused = await late.claim(claim(third, 3), 1010.0)
    repeat = await other.claim(claim(second, 4), 1010.0)

    assert isinstance(granted, GrantClaim)
    assert not isinstance(refused, GrantClaim)
    assert not isinstance(repeat, GrantClaim)
