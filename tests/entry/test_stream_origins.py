"""Hosts find the origin of a stream although others are lost, cut off or frozen."""

from __future__ import annotations

import asyncio
import os
import time
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace

import pytest
from result import Ok

from amaranthhollow.decisions.endpoints import (
    Endpoint,
    EndpointTable,
    ListedEndpoint,
    endpoint_fact,
)
from amaranthhollow.decisions.freshness import Freshness
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.entry.stream_origins import StreamOrigins
from amaranthhollow.platform.store import Snapshot
from amaranthhollow.serving.clock import now

VERSIONS = ("v1", "v2")
STREAMS = 240
LOSS = 0.03
MIN_DELAY_SECONDS, MAX_DELAY_SECONDS = 0.0005, 0.003
# A client notices that its stream is cut, and takes it up at another host.
CLIENT_DELAY_SECONDS = 0.02
ROUTE = SimpleNamespace(timeout_seconds=10.0)
ADMITTED = SimpleNamespace(service="model", route=ROUTE)


def seeds():
    """Return a few seeds, or those that the environment selects."""
    first, _, last = os.environ.get("AMARANTHHOLLOW_ORIGIN_SEEDS", "1-3").partition("-")
    return range(int(first), int(last or first) + 1)


@dataclass
class Network:
    """Hosts that exchange datagrams, some of which are lost."""

    random: Random
    origins_by_host: dict[str, StreamOrigins] = field(default_factory=dict)
    lost: set[str] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    frozen_until: dict[str, float] = field(default_factory=lambda: defaultdict(float))

    def add_host(self, name, names, data_centre_of, *, is_first_start=False):
        infos = {n: SimpleNamespace(data_centre=data_centre_of[n]) for n in names}
        membership = SimpleNamespace(
            peers=[n for n in names if n != name], info=infos.__getitem__
        )
        host = SimpleNamespace(
            name=name,
            membership=membership,
            random=self.random,
            settings=SimpleNamespace(is_first_start=is_first_start),
            site=SimpleNamespace(
                endpoints=endpoints_of(VERSIONS),
                endpoints_freshness=Freshness(now()),
            ),
            wall_time=time.time,
            reachable_hosts=tuple(n for n in names if n != name),
            store=SimpleNamespace(list=_list_nothing),
        )
        peering = SimpleNamespace(send=None, receive_stream_message=None)
        peering.send = lambda peer, message: self.send(name, peer, message)
        self.origins_by_host[name] = StreamOrigins(host, peering)
        self.origins_by_host[name].update()
        self.receivers[name] = peering

    receivers: dict[str, SimpleNamespace] = field(default_factory=dict)

    def send(self, sender, receiver, message):
        is_cut = self.cut & {sender, receiver}
        if sender in self.lost or is_cut or self.random.random() < LOSS:
            return
        delay = self.random.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)
        delay += max(0.0, self.frozen_until[receiver] - now())
        asyncio.get_running_loop().call_later(delay, self.deliver, receiver, message)

    def deliver(self, receiver, message):
        if receiver not in self.lost | self.cut:
            self.receivers[receiver].receive_stream_message(message)

    def begin(self, host, request_id, version):
        request = SimpleNamespace(
            request_id=request_id, resumed_id=None, last_event_id=None
        )
        self.origins_by_host[host].record_started(request, ADMITTED, version)

    async def take_up(self, host, request_id):
        request = SimpleNamespace(
            request_id=f"next-{request_id}", resumed_id=request_id, last_event_id="3"
        )
        return await self.origins_by_host[host].find_version(request, ADMITTED)


async def _list_nothing(prefix, timeout_seconds):
    return Ok(Snapshot((), StorePosition(0, 1)))


def endpoints_of(versions):
    table = EndpointTable()
    for number, version in enumerate(versions):
        listed = ListedEndpoint(
            f"i-{number}", 1, "10.0.0.1", 1, "dc-1", "model", software_version=version
        )
        found = table.apply(endpoint_fact(listed), 0.0)
        assert isinstance(found, Endpoint)
    return table


def build_network(host_count, seed):
    random = Random(f"{host_count}-{seed}")
    names = [f"host-{n}" for n in range(host_count)]
    data_centre_of = {name: f"dc-{n % 4}" for n, name in enumerate(names)}
    network = Network(random)
    for name in names:
        network.add_host(name, names, data_centre_of)
    return network, names, data_centre_of


async def play(network, names, survivors, disturb):
    """Begin streams, disturb hosts, and take the streams up; return the outcomes."""
    version_by_stream = {}
    for number in range(STREAMS):
        request_id = f"stream-{number}"
        version = version_by_stream[request_id] = network.random.choice(VERSIONS)
        network.begin(network.random.choice(names), request_id, version)
    await asyncio.sleep(CLIENT_DELAY_SECONDS)
    disturb()
    found = await asyncio.gather(
        *(
            network.take_up(network.random.choice(survivors), request_id)
            for request_id in version_by_stream
        )
    )
    expected = version_by_stream.values()
    wrong = [pair for pair in zip(expected, found, strict=True) if pair[1] is not None]
    wrong = [pair for pair in wrong if pair[0] != pair[1]]
    return wrong, sum(version is not None for version in found)


@pytest.mark.parametrize("seed", seeds())
@pytest.mark.parametrize("host_count", [8, 90])
async def test_origin_is_found_after_the_loss_of_a_data_centre(host_count, seed):
    network, names, data_centre_of = build_network(host_count, seed)
    lost = {name for name in names if data_centre_of[name] == "dc-1"}
    survivors = [name for name in names if name not in lost]
    wrong, found = await play(
        network, names, survivors, lambda: network.lost.update(lost)
    )

    assert wrong == []
    assert found >= 0.99 * STREAMS


# Of the streams that are taken up, half as many must go on as new ones begin.
@pytest.mark.parametrize("seed", seeds())
@pytest.mark.parametrize("host_count", [8, 90])
async def test_most_origins_are_found_after_the_loss_of_most_hosts(host_count, seed):
    network, names, _ = build_network(host_count, seed)
    lost = set(network.random.sample(names, int(0.6 * host_count)))
    survivors = [name for name in names if name not in lost]
    wrong, found = await play(
        network, names, survivors, lambda: network.lost.update(lost)
    )

    assert wrong == []
    assert found >= 0.5 * STREAMS


@pytest.mark.parametrize("seed", seeds())
@pytest.mark.parametrize("host_count", [8, 90])
async def test_origin_is_found_beside_frozen_and_cut_hosts(host_count, seed):
    network, names, _ = build_network(host_count, seed)
    chosen = network.random.sample(names, int(0.25 * host_count))
    cut, frozen = chosen[::2], chosen[1::2]

    def disturb():
        network.cut.update(cut)
        network.frozen_until |= dict.fromkeys(frozen, now() + 5.0)

    survivors = [name for name in names if name not in chosen]
    wrong, found = await play(network, names, survivors, disturb)

    assert wrong == []
    assert found >= 0.95 * STREAMS


# A host that was cut off guessed the version of streams that it did not know.
@pytest.mark.parametrize("host_count", [8, 90])
async def test_host_that_reaches_no_other_guesses_no_version(host_count):
    network, names, _ = build_network(host_count, 1)
    wrong, _ = await play(
        network, names[1:], names[:1], lambda: network.cut.add(names[0])
    )

    assert wrong == []


async def test_restarted_hosts_guess_no_version():
    network, names, data_centre_of = build_network(8, 1)

    def restart_all():
        for name in names:
            network.add_host(name, names, data_centre_of)

    wrong, found = await play(network, names, names, restart_all)

    assert (wrong, found) == ([], 0)
