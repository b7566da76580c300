"""Exchanges membership, load reports and ages of documents with other hosts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar, Protocol

import logbook

from amaranthhollow.decisions.gossip import PeerRotation
from amaranthhollow.decisions.peer_protocols import (
    EARLIER_ROUND_SECONDS,
    PeerProtocol,
    earlier_pings,
    earlier_report_age,
)
from amaranthhollow.decisions.peer_warnings import MixedVersions, UnreadableMessages
from amaranthhollow.decisions.quota import MIN_COUNTS_AGE_SECONDS, HostCounts
from amaranthhollow.decisions.reports import exchange_pace
from amaranthhollow.entry.contacts import Contacts
from amaranthhollow.entry.freshness_exchange import FreshnessExchange
from amaranthhollow.entry.report_exchange import ReportExchange
from amaranthhollow.peers.datagrams import (
    Echo,
    OriginQuery,
    OriginReply,
    Ping,
    ReportEcho,
    ReportPing,
    StreamMessage,
    StreamStarted,
    decode_datagram,
    describe_form,
    encode_datagram,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.entry.host import Host
    from amaranthhollow.entry.peer_documents import PeerDocuments

__all__ = ["FactConsumer", "Peering"]

# A ping without an echo for this long counts as lost.
ECHO_TIMEOUT_SECONDS = 1.0
UPDATE_INTERVAL_SECONDS = 0.25
# A host that has been unreachable for less may still serve callers behind a partition.
KNOWN_HOST_RETENTION_SECONDS = 15.0
LOST_HOST_RETRY_SECONDS = 2.0
# A new host gets the quota levels with its first echoes, unless they are lost.
QUOTA_LEVELS_SECONDS = 1.0
# By then this host knows the others, and has been announced to them by gossip.
SHARING_DELAY_SECONDS = 2.0
MAX_NAMED_HOSTS = 10

log = logbook.Logger("peers")


class FactConsumer(Protocol):
    """A component that acts on facts of some kinds."""

    fact_kinds: ClassVar[tuple[str, ...]]

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply facts of these kinds that gossip reported as new."""


@dataclass(frozen=True)
class _PendingPing:
    """A ping without an echo yet."""

    host: str
    sent_at: float


class Peering(asyncio.DatagramProtocol):
    """Exchanges pings and echoes with the other hosts on behalf of one host."""

    def __init__(self, host: Host, documents: PeerDocuments) -> None:
        """Exchange datagrams on behalf of ``host``, and fetch newer ``documents``."""
        self._host = host
        self._freshness = FreshnessExchange(host, documents)
        self._consumers_by_kind: dict[str, Callable[[Iterable[Fact]], None]] = {}
        self._started_at = now()
        self.receive_stream_message: Callable[[StreamMessage], None] = _ignore
        self._port = host.settings.peer_ports.first
        self._transport: asyncio.DatagramTransport | None = None
        self._nonce = host.random.getrandbits(32)
        self._pending_pings_by_nonce: dict[int, _PendingPing] = {}
        self._contacts = Contacts()
        self._reports = ReportExchange(host, self._contacts)
        self._pace = exchange_pace(0)
        self._next_update_at = 0.0
        self._next_lost_ping_at = 0.0
        self._rotation = PeerRotation(host.random)
        self._earlier_rotation = PeerRotation(host.random)
        self._next_earlier_round_at = 0.0
        self._unreadable = UnreadableMessages()
        self._mixed = MixedVersions()

    def register(self, consumer: FactConsumer) -> None:
        """Pass the new facts of a consumer's kinds to it."""
        for kind in consumer.fact_kinds:
            self._consumers_by_kind[kind] = consumer.apply_facts

    async def start(self) -> None:
        """Bind the UDP port."""
        loop = asyncio.get_running_loop()
        address = (self._host.settings.address, self._port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    async def run(self) -> None:
        """Ping peers until cancelled."""
        while True:
            if self._transport is None:
                await self.start()
            self.ping_next()
            await asyncio.sleep(self._pace.ping_interval)

    def send(self, name: str, message: StreamMessage) -> None:
        """Send a message to a peer; it may be lost."""
        info = self._host.membership.info(name)
        if info is not None and self._transport is not None:
            data = encode_datagram(message)
            self._transport.sendto(data, (info.address, self._port))

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the bound socket."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Have the socket bound again, which an unexpected error has closed."""
        self._transport = None
        if error is not None:
            log.error("socket for peers closed", extra={"error": repr(error)})

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Process a ping or an echo, and respond to a ping."""
        message = decode_datagram(data)
        match message:
            case Ping():
                self._host.metrics.datagrams.increment("ping")
                reply = self._merge_gossip(message)
                if self._is_sent_by_its_host(message, address):
                    self._record_contact(message, PeerProtocol.REPORT_CHANGES)
                    self._reports.correct_version(message)
                echo = self._build_echo(message, reply)
                self._transport.sendto(encode_datagram(echo), address)
            case Echo():
                self._host.metrics.datagrams.increment("echo")
                self._handle_echo(message)
            case ReportPing():
                self._host.metrics.datagrams.increment("report ping")
                self._handle_report_ping(message, address)
            case ReportEcho():
                self._host.metrics.datagrams.increment("report echo")
                self._handle_echo(message)
            case StreamStarted() | OriginQuery() | OriginReply():
                self._host.metrics.datagrams.increment("stream")
                self.receive_stream_message(message)
            case None:
                self._host.metrics.datagrams.increment("unreadable")
                self._warn_of_unreadable(data, address)

    def error_received(self, error: Exception) -> None:
        """Ignore network errors, since missing echoes reveal an unreachable peer."""

    # Pings.

    def ping_next(self) -> None:
        """Ping the next peers, and mark those that have not responded as failed.

        Peers of earlier versions relay no reports, and are asked in rounds of their
        own, as they ask others.
        """
        host = self._host
        instant = now()
        if instant >= self._next_update_at:
            self._next_update_at = instant + UPDATE_INTERVAL_SECONDS
            self._expire_pending_pings(instant)
            host.membership.expire_suspicions(instant)
            self._update_reachable_hosts(instant)
        peers = host.membership.peers
        earlier = set(host.protocols.hosts_of(PeerProtocol.WHOLE_REPORTS))
        current = [peer for peer in peers if peer not in earlier] if earlier else peers
        for peer in self._rotation.select(current, 1):
            self._ping(peer, instant)
        if earlier and instant >= self._next_earlier_round_at:
            self._next_earlier_round_at = instant + EARLIER_ROUND_SECONDS
            known = [peer for peer in peers if peer in earlier]
            count = earlier_pings(len(known), len(peers))
            for peer in self._earlier_rotation.select(known, count):
                self._ping(peer, instant)
        lost = host.membership.lost_hosts
        if lost and instant >= self._next_lost_ping_at:
            self._next_lost_ping_at = instant + LOST_HOST_RETRY_SECONDS
            self._ping(host.random.choice(lost), instant)

    def _ping(self, peer: str, instant: float) -> None:
        host = self._host
        info = host.membership.info(peer)
        if info is None or self._transport is None:
            return
        self._nonce += 1
        self._pending_pings_by_nonce[self._nonce] = _PendingPing(peer, instant)
        gossip = host.membership.table.compose_message()
        head = (self._nonce, host.name, host.incarnation, gossip)
        for protocol in host.protocols.forms_for(peer):
            match protocol:
                case PeerProtocol.REPORT_CHANGES:
                    ping = Ping(*head, self._reports.digest())
                case PeerProtocol.WHOLE_REPORTS:
                    ping = ReportPing(
                        *head, self._reports.build_report(), max(PeerProtocol)
                    )
            self._transport.sendto(encode_datagram(ping), (info.address, self._port))

    def _expire_pending_pings(self, instant: float) -> None:
        for nonce, pending_ping in list(self._pending_pings_by_nonce.items()):
            if instant - pending_ping.sent_at < ECHO_TIMEOUT_SECONDS:
                continue
            del self._pending_pings_by_nonce[nonce]
            last_seen_at = self._contacts.last_seen_at(pending_ping.host)
            if last_seen_at < pending_ping.sent_at:
                self._host.protocols.forget(pending_ping.host)
                self._host.membership.record_exchange_failure(
                    pending_ping.host, instant
                )

    def _update_reachable_hosts(self, instant: float) -> None:
        host = self._host
        peers = host.membership.peers
        has_statements = host.chooser.stated_loads.has_any
        self._pace = exchange_pace(len(peers), has_statements=has_statements)
        host.spread_seconds = self._pace.spread_seconds
        limit = ECHO_TIMEOUT_SECONDS + self._pace.max_age_seconds
        if self._update_protocols(instant):
            limit = max(limit, earlier_report_age(len(peers)))
        reachable = tuple(self._contacts.seen_since(instant - limit))
        known_since = instant - KNOWN_HOST_RETENTION_SECONDS
        known = {*self._contacts.seen_since(known_since), *peers}
        if reachable != host.reachable_hosts:
            log.info(
                "reachable hosts changed",
                extra={"reachable": len(reachable), "known": len(known)},
            )
            host.reachable_hosts = reachable
        max_age = max(MIN_COUNTS_AGE_SECONDS, self._pace.max_age_seconds)
        if instant >= self._started_at + KNOWN_HOST_RETENTION_SECONDS:
            host.expected_hosts = 0
        total = max(1 + len(known), host.expected_hosts)
        host.host_counts = HostCounts(total, 1 + len(reachable), max_age)
        if instant >= self._started_at + SHARING_DELAY_SECONDS:
            host.sharing_hosts = tuple(sorted({*known, host.name}))
        self._forget_ended(instant)

    def _update_protocols(self, instant: float) -> bool:
        """Return whether any peers are of earlier versions, and warn if for long."""
        host = self._host
        for protocol in PeerProtocol:
            count = len(host.protocols.hosts_of(protocol))
            host.metrics.peers_by_protocol.values[str(int(protocol))] = count
        earlier = host.protocols.hosts_of(PeerProtocol.WHOLE_REPORTS)
        seconds = self._mixed.record(len(earlier), instant)
        if seconds is not None:
            log.warning(
                "hosts of several versions",
                extra={
                    "seconds": round(seconds),
                    "earlier": len(earlier),
                    "first_hosts": earlier[:MAX_NAMED_HOSTS],
                },
            )
        return bool(earlier)

    def _forget_ended(self, instant: float) -> None:
        """Drop what is known of hosts and processes that were not seen for long."""
        host = self._host
        known_since = instant - KNOWN_HOST_RETENTION_SECONDS
        for name in self._contacts.forget_hosts(known_since):
            host.chooser.forget_host(name)
            host.can_relay_by_peer.pop(name, None)
            host.can_read_by_peer.pop(name, None)
            host.clock.forget(name)
            self._host.protocols.forget(name)
        self._reports.forget_ended(instant)

    # Messages to and from peers.

    def _merge_gossip(self, message: Ping | Echo | ReportPing | ReportEcho) -> object:
        membership = self._host.membership
        for fact in membership.merge(message.gossip.facts, now()):
            apply_facts = self._consumers_by_kind.get(fact.kind)
            if apply_facts is None:
                continue
            try:
                apply_facts([fact])
            except Exception as error:
                self._host.metrics.datagrams.increment("unreadable fact")
                log.warning(
                    "fact unreadable",
                    extra={"kind": fact.kind, "fact": fact.name, "error": str(error)},
                )
        return membership.table.compose_message(message.gossip)

    def _build_echo(self, ping: Ping, reply: object) -> Echo:
        host = self._host
        return Echo(
            ping.nonce,
            host.name,
            host.incarnation,
            reply,
            self._reports.changes_for(ping, self._pace),
            self._freshness.build_report(),
            host.clock.local_wall_time(now()),
            self._quota_levels_for(ping),
        )

    def _quota_levels_for(self, ping: Ping | ReportPing) -> dict[str, float] | None:
        """Return the levels of the quotas if the sender of a ping has just started."""
        process = f"{ping.host}@{ping.incarnation}"
        instant = now()
        first_seen_at = self._contacts.first_seen_at(process, instant)
        if instant - first_seen_at >= QUOTA_LEVELS_SECONDS:
            return None
        return self._host.quotas.levels(instant)

    def _handle_report_ping(self, ping: ReportPing, address: tuple[str, int]) -> None:
        """Process a ping of a host of an earlier version, and respond to it.

        One of this version does not know yet which host it asks, and pings in both
        forms.
        """
        is_earlier = ping.protocol < PeerProtocol.REPORT_CHANGES
        reply = self._merge_gossip(ping)
        if self._is_sent_by_its_host(ping, address):
            self._record_contact(
                ping,
                PeerProtocol.WHOLE_REPORTS
                if is_earlier
                else PeerProtocol.REPORT_CHANGES,
            )
            if is_earlier:
                self._reports.apply_whole(ping)
        if not is_earlier:
            return
        host = self._host
        echo = ReportEcho(
            ping.nonce,
            host.name,
            host.incarnation,
            reply,
            self._reports.build_report(),
            self._freshness.build_report(),
            host.clock.local_wall_time(now()),
            self._quota_levels_for(ping),
        )
        self._transport.sendto(encode_datagram(echo), address)

    def _is_sent_by_its_host(
        self, ping: Ping | ReportPing, address: tuple[str, int]
    ) -> bool:
        """Return whether a ping comes from the address that its host is known to have.

        Others are answered, so that a host at a new address becomes known by gossip.
        """
        info = self._host.membership.info(ping.host)
        is_its_own = info is None or info.address == address[0]
        if not is_its_own:
            self._host.metrics.datagrams.increment("other address")
        return is_its_own

    def _warn_of_unreadable(self, data: bytes, address: tuple[str, int]) -> None:
        """Log that messages from an address cannot be read, now and then."""
        form = describe_form(data)
        count = self._unreadable.record(address[0], form, now())
        if count:
            log.warning(
                "messages unreadable",
                extra={"address": address[0], "form": form, "count": count},
            )

    def _record_contact(
        self, message: Ping | Echo | ReportPing | ReportEcho, protocol: PeerProtocol
    ) -> None:
        """Record that a host has sent a message itself, and in which form."""
        name, incarnation = message.host, message.incarnation
        self._contacts.record(name, incarnation, now(), now())
        if self._host.protocols.record(name, incarnation, protocol):
            log.info(
                "protocol of a peer",
                extra={"peer": name, "protocol": int(protocol)},
            )

    def _handle_echo(self, echo: Echo | ReportEcho) -> None:
        pending_ping = self._pending_pings_by_nonce.pop(echo.nonce, None)
        if pending_ping is None or pending_ping.host != echo.host:
            return
        match echo:
            case Echo():
                self._record_contact(echo, PeerProtocol.REPORT_CHANGES)
                self._reports.merge(echo.changes)
            case ReportEcho():
                self._record_contact(echo, PeerProtocol.WHOLE_REPORTS)
                self._reports.apply_whole(echo)
        self._merge_gossip(echo)
        midpoint = (pending_ping.sent_at + now()) / 2
        self._host.clock.observe(echo.host, echo.wall_time, midpoint)
        self._freshness.apply_report(echo.host, echo.freshness, pending_ping.sent_at)
        quotas, instant = self._host.quotas, now()
        if echo.quota_levels is not None and not quotas.knows_levels(instant):
            quotas.adopt_levels(echo.quota_levels, instant)
            lowest = min(echo.quota_levels.values(), default=None)
            log.info(
                "quota levels adopted", extra={"from": echo.host, "lowest": lowest}
            )


def _ignore(message: StreamMessage) -> None:
    """Drop a message that arrives before its receiver is set."""
