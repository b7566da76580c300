"""Exchanges gossip with peers and applies new facts to the node."""

from __future__ import annotations

import asyncio
from heapq import nlargest
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.configuration import CONFIGURATION_FACT, HeadEntry
from amaranthhollow.decisions.endpoints import ENDPOINT_FACT
from amaranthhollow.decisions.gossip import (
    LOAD_FACT,
    STORE_ERA_FACT,
    Fact,
    GossipMessage,
    Version,
    select_exchange_peers,
    select_peers,
)
from amaranthhollow.decisions.quarantine import VERDICT_DELAY_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from amaranthhollow.daemon.node import Node

__all__ = ["Gossiper"]

EXCHANGE_SECONDS = 0.5
EXCHANGE_FANOUT = 2
MAX_PUSH_PEERS = 16
# As many loads as fit into the part of a message that decisions.gossip reserves for
# them.
MAX_PUBLISHED_LOADS = 8

log = logbook.Logger("gossip")
_decoder = msgspec.msgpack.Decoder(GossipMessage)
_loads_decoder = msgspec.msgpack.Decoder(dict[str, EndpointLoad])


class Gossiper:
    """Keeps the facts of this daemon consistent with those of its peers."""

    def __init__(
        self, node: Node, on_revision: Callable[[HeadEntry, str], None]
    ) -> None:
        """Call ``on_revision`` with each newer revision and the peer that sent it."""
        self._node = node
        self._on_revision = on_revision
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Exchange with a few peers at each interval, until cancelled."""
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS * self._node.random.uniform(0.8, 1.2))
            await self.exchange_once()

    async def exchange_once(self) -> None:
        """Exchange with a few peers and remove expired members and facts."""
        node = self._node
        self._publish_loads()
        members = node.membership
        peers = select_exchange_peers(
            members.peers, members.lost_hosts, EXCHANGE_FANOUT, node.random
        )
        await asyncio.gather(*(self._exchange(peer) for peer in peers))
        for host in node.membership.expire_suspicions(node.now()):
            node.counters.increment("members.lost")
            log.warning("daemon on host {} is lost; not counting its load", host)
            node.membership.table.remove(LOAD_FACT, host)
            node.chooser.forget_host(host)
        for host in node.endpoints.expire(node.now()):
            node.membership.table.remove(ENDPOINT_FACT, host)
        node.chooser.retain({endpoint.host for endpoint in node.endpoints.all()})
        for kind, name in node.quarantine.expire(node.now()):
            node.membership.table.remove(kind, name)

    def publish_crash_evidence(self) -> None:
        """Publish evidence against requests that were running at crashed endpoints."""
        node = self._node
        reclaimed = [e.host for e in node.endpoints.all() if e.is_reclaimed]
        evidence = node.quarantine.confirm_evidence(reclaimed, node.now())
        self.publish(evidence)
        if evidence:
            task = asyncio.get_running_loop().create_task(self._exchange_with_many())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def receive(self, message: GossipMessage) -> GossipMessage:
        """Merge a peer's message and return the reply."""
        self.publish(message.facts, message.sender)
        return self._node.membership.table.compose_message(message)

    def publish(self, facts: Iterable[Fact], sender: str = "") -> None:
        """Merge facts of this daemon or of ``sender``, and apply the new ones."""
        node = self._node
        for fact in node.membership.merge(facts, node.now()):
            match fact.kind:
                case "endpoint":
                    self._apply_endpoint(fact)
                case "configuration":
                    entry = msgspec.json.decode(fact.value, type=HeadEntry)
                    self._on_revision(entry, sender)
                case "reclaim":
                    node.counters.increment("hosts.reclaim_noticed")
                    log.info("received a reclaim notice for host {}", fact.name)
                case "crash":
                    self._apply_evidence(fact)
                case "store-era":
                    node.store.observe_era(fact.version.incarnation)
                case "load" if fact.name != node.settings.host:
                    node.chooser.observe(fact.name, _loads_decoder.decode(fact.value))

    def publish_revision(self, entry: HeadEntry) -> None:
        """Publish the newest accepted revision."""
        version = Version(entry.revision)
        value = msgspec.json.encode(entry)
        self.publish([Fact(CONFIGURATION_FACT, "head", version, value)])

    def publish_era(self, previous_era: int, era: int) -> None:
        """Publish that the key-value service has returned from an older copy."""
        self.publish([Fact(STORE_ERA_FACT, "era", Version(era), b"")])

    def _publish_loads(self) -> None:
        """Publish this daemon's load at the endpoints where it is highest."""
        node = self._node
        host = node.settings.host
        loads = node.chooser.local_loads()
        busiest = nlargest(
            MAX_PUBLISHED_LOADS, loads, key=lambda e: loads[e].pending_tokens
        )
        value = msgspec.msgpack.encode(
            {endpoint: loads[endpoint] for endpoint in busiest}
        )
        published = node.membership.table.get(LOAD_FACT, host)
        if published is None or published.value != value:
            version = Version(int(node.now() * 1000))
            node.membership.merge([Fact(LOAD_FACT, host, version, value)], node.now())

    async def _exchange_with_many(self) -> None:
        """Exchange with up to ``MAX_PUSH_PEERS`` peers concurrently."""
        node = self._node
        peers = select_peers(
            node.membership.peers, MAX_PUSH_PEERS, node.random.randrange
        )
        await asyncio.gather(*(self._exchange(peer) for peer in peers))

    async def _exchange(self, host: str) -> None:
        node = self._node
        info = node.membership.info(host)
        if info is None:
            return
        message = msgspec.msgpack.encode(node.membership.table.compose_message())
        reply = await node.links.call(info.address, lambda p: p.exchange(message))
        if isinstance(reply, Err):
            node.counters.increment("gossip.failed")
            node.membership.record_exchange_failure(host, node.now())
            return
        data = bytes(reply.ok_value.message)
        node.counters.increment("gossip.exchanges")
        node.counters.increment("gossip.bytes", len(message) + len(data))
        received = _decoder.decode(data)
        self.publish(received.facts, host)
        if received.differing:
            await self._send_requested_facts(info.address, received)

    async def _send_requested_facts(
        self, address: str, received: GossipMessage
    ) -> None:
        """Send the facts of the buckets in which the peer's digests differ."""
        message = self._node.membership.table.compose_message(received)
        if not message.facts:
            return
        data = msgspec.msgpack.encode(message)
        self._node.counters.increment("gossip.bytes", len(data))
        await self._node.links.call(address, lambda peer: peer.exchange(data))

    def _apply_evidence(self, fact: Fact) -> None:
        node = self._node
        digest = node.quarantine.apply(fact).request_digest
        node.counters.increment("quarantine.evidence")
        loop = asyncio.get_running_loop()
        loop.call_later(VERDICT_DELAY_SECONDS, self._log_verdict, digest)

    def _log_verdict(self, digest: bytes) -> None:
        if self._node.quarantine.is_quarantined(digest, self._node.now()):
            self._node.counters.increment("quarantine.requests")
            log.warning("request {} is quarantined after crashes", digest.hex())

    def _apply_endpoint(self, fact: Fact) -> None:
        node = self._node
        before = node.endpoints.get(fact.name)
        after = node.endpoints.apply(fact, node.now())
        if before is None or before.state != after.state:
            node.counters.increment(f"endpoints.{after.state}")
            log.info("endpoint {} is {}", fact.name, after.state)
