"""Exchanges datagrams with the other hosts: membership, reports and proofs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.duties import HolderSeen
from amaranthhollow.decisions.freshness import vouched_proof
from amaranthhollow.decisions.gossip import PeerRotation
from amaranthhollow.decisions.quota import HostCounts
from amaranthhollow.decisions.usage import merged_counts
from amaranthhollow.entry.peer_documents import (
    CONFIGURATION_TARGET,
    ENDPOINTS_TARGET,
)
from amaranthhollow.peers.datagrams import (
    RELEASED,
    Echo,
    HostReport,
    Ping,
    Vouch,
    decode_datagram,
    encode_datagram,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.entry.peer_documents import PeerDocuments

__all__ = ["Peering"]

PING_SECONDS = 0.25
# Each host pings this many others a round, so that its traffic does not grow with
# the number of hosts.
FANOUT = 12
# A ping that has no echo after three more rounds is lost.
ECHO_SECONDS = 1.0
# A host that was heard of this long ago may still serve callers behind a partition.
KNOWN_SECONDS = 15.0
# The counts of a process that ended are needed until its last window is reported.
REPORT_RETENTION_SECONDS = 60.0
# Earlier windows do not change any more, and peers have heard of them many times.
REPORTED_WINDOWS = 2
LOST_TRY_ROUNDS = 8

log = logbook.Logger("peers")


@dataclass(frozen=True)
class _Asked:
    """A ping that waits for its echo."""

    host: str
    asked_at: float


class Peering(asyncio.DatagramProtocol):
    """The exchanges of one host with its peers."""

    def __init__(self, host: Host, documents: PeerDocuments) -> None:
        """Exchange on behalf of ``host``; newer ``documents`` are fetched."""
        self._host = host
        self._documents = documents
        self._port = host.settings.peer_ports.first
        self._transport: asyncio.DatagramTransport | None = None
        self._nonce = host.random.getrandbits(32)
        self._asked_by_nonce: dict[int, _Asked] = {}
        self._heard_at_by_host: dict[str, float] = {}
        self._heard_at_by_process: dict[str, float] = {}
        self._round = 0
        self._rotation = PeerRotation(host.random)

    async def start(self) -> None:
        """Bind the port for datagrams."""
        loop = asyncio.get_running_loop()
        address = (self._host.settings.address, self._port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    async def run(self) -> None:
        """Ping peers until cancelled."""
        while True:
            self.ping_round()
            await asyncio.sleep(PING_SECONDS)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the bound socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a ping or an echo."""
        message = decode_datagram(data)
        match message:
            case Ping():
                self._host.metrics.datagrams.labels("ping").inc()
                self._take_in(message.host, message.incarnation, message.report)
                reply = self._merge(message)
                echo = self._echo(message, reply)
                self._transport.sendto(encode_datagram(echo), address)
            case Echo():
                self._host.metrics.datagrams.labels("echo").inc()
                self._take_echo(message)
            case None:
                self._host.metrics.datagrams.labels("unreadable").inc()

    def error_received(self, error: Exception) -> None:
        """Ignore what the network says; a missing echo says it too."""

    # Rounds.

    def ping_round(self) -> None:
        """Ping some peers, and give up those that did not answer."""
        host = self._host
        instant = now()
        self._round += 1
        self._expire_asked(instant)
        host.membership.expire_suspicions(instant)
        self._count_hosts(instant)
        random = host.random
        partners = self._rotation.select(host.membership.peers, FANOUT)
        lost = host.membership.lost_hosts
        if lost and self._round % LOST_TRY_ROUNDS == 0:
            partners.append(random.choice(lost))
        for partner in partners:
            self._ping(partner, instant)

    def _ping(self, partner: str, instant: float) -> None:
        host = self._host
        info = host.membership.info(partner)
        if info is None or self._transport is None:
            return
        self._nonce += 1
        self._asked_by_nonce[self._nonce] = _Asked(partner, instant)
        ping = Ping(
            self._nonce,
            host.name,
            host.incarnation,
            host.membership.table.compose_message(),
            self._report(),
        )
        self._transport.sendto(encode_datagram(ping), (info.address, self._port))

    def _expire_asked(self, instant: float) -> None:
        for nonce, asked in list(self._asked_by_nonce.items()):
            if instant - asked.asked_at < ECHO_SECONDS:
                continue
            del self._asked_by_nonce[nonce]
            heard_at = self._heard_at_by_host.get(asked.host, 0.0)
            if heard_at < asked.asked_at:
                self._host.membership.record_exchange_failure(asked.host, instant)

    def _count_hosts(self, instant: float) -> None:
        host = self._host
        ages = {h: instant - at for h, at in self._heard_at_by_host.items()}
        limit = reachable_seconds(len(host.membership.peers))
        reachable = tuple(sorted(h for h, age in ages.items() if age < limit))
        known = {h for h, age in ages.items() if age < KNOWN_SECONDS}
        known |= set(host.membership.peers)
        if set(reachable) != set(host.reachable_hosts):
            log.info(
                "reachable hosts changed",
                extra={"reachable": len(reachable), "known": len(known)},
            )
        host.reachable_hosts = reachable
        host.host_counts = HostCounts(1 + len(known), 1 + len(reachable))
        for name in [h for h, age in ages.items() if age >= KNOWN_SECONDS]:
            del self._heard_at_by_host[name]
            host.chooser.forget_host(name)
            host.clock.forget(name)
        for process, at in list(self._heard_at_by_process.items()):
            if instant - at >= REPORT_RETENTION_SECONDS:
                del self._heard_at_by_process[process]
                host.quotas.forget(process)
                host.usage_by_process.pop(process, None)

    # Messages.

    def _report(self) -> HostReport:
        host = self._host
        usage = host.usage.report(REPORTED_WINDOWS)
        return HostReport(usage, host.quotas.spent(), host.chooser.own_loads())

    def _merge(self, message: Ping | Echo) -> object:
        membership = self._host.membership
        self._host.crashes.learn(membership.merge(message.gossip.facts, now()))
        return membership.table.compose_message(message.gossip)

    def _echo(self, ping: Ping, reply: object) -> Echo:
        host = self._host
        return Echo(
            ping.nonce,
            host.name,
            host.incarnation,
            reply,
            self._report(),
            self._vouch(),
            host.clock.own_wall_time(now()),
        )

    def _vouch(self) -> Vouch:
        host, instant = self._host, now()
        site, duty = host.site, host.duty
        holder, token, seconds = "", 0, 0.0
        if duty.holding is not None:
            holder, token = host.name, duty.holding.fencing_token
            seconds = duty.holding.expires_at - instant
        elif duty.seen is not None:
            holder, token = duty.seen.host, duty.seen.fencing_token
            seconds = duty.seen.lapses_at - instant
            if duty.seen.is_released:
                seconds = RELEASED
        return Vouch(
            site.version,
            _age(site.configuration_proof.age(instant)),
            site.snapshot.revision,
            site.fingerprint,
            _age(site.endpoints_proof.age(instant)),
            holder,
            token,
            seconds,
        )

    def _take_in(self, name: str, incarnation: int, report: HostReport) -> None:
        host = self._host
        self._heard_at_by_host[name] = now()
        process = f"{name}@{incarnation}"
        self._heard_at_by_process[process] = now()
        host.chooser.learn(name, report.loads)
        host.quotas.learn(process, report.spent)
        known = host.usage_by_process.get(process, {})
        host.usage_by_process[process] = merged_counts(known, report.usage)

    def _take_echo(self, echo: Echo) -> None:
        asked = self._asked_by_nonce.pop(echo.nonce, None)
        if asked is None or asked.host != echo.host:
            return
        self._take_in(echo.host, echo.incarnation, echo.report)
        self._merge(echo)
        middle = (asked.asked_at + now()) / 2
        self._host.clock.learn(echo.host, echo.wall_time, middle)
        self._take_vouch(echo.host, echo.vouch, asked.asked_at)

    def _take_vouch(self, name: str, vouch: Vouch, asked_at: float) -> None:
        site = self._host.site
        if vouch.configuration_age >= 0:
            proof = vouched_proof(asked_at, vouch.configuration_age)
            if vouch.configuration_version > site.version:
                self._documents.fetch(name, CONFIGURATION_TARGET, proof.proven_at)
            site.vouch_configuration(vouch.configuration_version, proof)
        if vouch.endpoints_age >= 0:
            proof = vouched_proof(asked_at, vouch.endpoints_age)
            is_newer = vouch.endpoints_revision > site.snapshot.revision
            if is_newer and vouch.endpoints_fingerprint != site.fingerprint:
                self._documents.fetch(name, ENDPOINTS_TARGET, proof.proven_at)
            site.vouch_endpoints(vouch.endpoints_fingerprint, proof)
        if vouch.holder and vouch.holder != self._host.name:
            is_released = vouch.holder_seconds == RELEASED
            lapses_at = 0.0 if is_released else now() + vouch.holder_seconds
            seen = HolderSeen(vouch.holder, vouch.fencing_token, lapses_at, is_released)
            self._host.duty = self._host.duty.heard_of(seen)


def reachable_seconds(peers: int) -> float:
    """Return after how long a peer that was not heard of is not counted on.

    A host hears of each peer twice in as many rounds as its pings need to reach all
    of them; twice as many, and an echo's time at least, rules out a lost datagram.
    """
    rounds = peers / FANOUT
    return max(ECHO_SECONDS, 2 * PING_SECONDS * rounds)


def _age(age: float) -> float:
    """Return an age for the wire, where a missing proof is negative."""
    return -1.0 if age == float("inf") else age
