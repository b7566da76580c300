"""Composes a daemon and runs it from start to graceful shutdown."""

from __future__ import annotations

import asyncio
import math
import signal
import sys
import time
from random import Random
from typing import TYPE_CHECKING

import capnp
import logbook

from amaranthhollow.daemon.configuration_sync import ConfigurationSync
from amaranthhollow.daemon.control import ControlTask
from amaranthhollow.daemon.counters import Counters
from amaranthhollow.daemon.discovery import Discovery
from amaranthhollow.daemon.gossiper import Gossiper
from amaranthhollow.daemon.http_server import HttpServer
from amaranthhollow.daemon.node import Node
from amaranthhollow.daemon.operator_app import operator_app
from amaranthhollow.daemon.peer_handler import DaemonPeerHandler
from amaranthhollow.daemon.state_dump import dump_state
from amaranthhollow.daemon.stream_handover import hand_over_streams
from amaranthhollow.decisions.choice import EndpointChooser
from amaranthhollow.decisions.configuration import AppliedConfiguration
from amaranthhollow.decisions.membership import DaemonInfo, DaemonStatus, Membership
from amaranthhollow.endpoints.engine import EngineClient
from amaranthhollow.endpoints.service import ServiceClient
from amaranthhollow.endpoints.sessions import open_session
from amaranthhollow.gateway.app import caller_app
from amaranthhollow.gateway.live_streams import StreamRegistry
from amaranthhollow.peers.claim_router import ClaimRouter
from amaranthhollow.peers.links import PeerLinks
from amaranthhollow.peers.server import serve_peers
from amaranthhollow.platform.store import StoreClient
from amaranthhollow.serving.http_client import HttpClient
from amaranthhollow.state.claim_store import ClaimStore
from amaranthhollow.state.configuration_store import ConfigurationStore
from amaranthhollow.state.host_list import HostListClient

if TYPE_CHECKING:
    from collections.abc import Coroutine

    import aiohttp

    from amaranthhollow.settings.model import DaemonSettings

__all__ = ["run_daemon"]

DRAIN_NOTICE_SECONDS = 1.0
DRAIN_FLUSH_SECONDS = 5.0
FLUSH_POLL_SECONDS = 0.02
HANDOVER_SECONDS = 1.0
STREAM_EXPIRY_SECONDS = 1.0

log = logbook.Logger("daemon")


async def run_daemon(settings: DaemonSettings) -> None:
    """Run a daemon until a signal, an operator or a reclaim drains it."""
    async with capnp.kj_loop(), open_session() as session:
        await _Daemon(settings, session).run()


class _Daemon:
    """The parts of one daemon, its servers and its background tasks."""

    def __init__(self, settings: DaemonSettings, session: aiohttp.ClientSession):
        self._node = node = _build_node(settings, session)
        self._streams = StreamRegistry()
        store = ConfigurationStore(node.store)
        self._configuration_sync = ConfigurationSync(node, store)
        self._gossiper = Gossiper(node, self._configuration_sync.note_revision)
        self._configuration_sync.set_gossiper(self._gossiper)
        node.store.add_restore_listener(self._gossiper.publish_era)
        node.store.add_restore_listener(self._configuration_sync.store_restored)
        node.publish_crash_evidence = self._gossiper.publish_crash_evidence
        self._discovery = Discovery(node, self._gossiper, self._on_reclaim)
        self._peer_handler = DaemonPeerHandler(
            self._gossiper, self._configuration_sync, self._streams, node
        )
        self._drain_requested = asyncio.Event()
        self._leaves_at = math.inf
        address = str(settings.address)
        caller_application = caller_app(node, self._streams)
        operator_application = operator_app(
            node,
            self._streams,
            self._drain_requested.set,
            self._configuration_sync.receive_revision,
        )
        self._caller_server = HttpServer(
            caller_application, address, settings.caller_port
        )
        self._operator_server = HttpServer(
            operator_application, address, settings.operator_port
        )

    async def run(self) -> None:
        """Start the servers and tasks, serve until drained, and stop them."""
        self._handle_signals()
        settings = self._node.settings
        peers = await serve_peers(
            self._peer_handler, str(settings.address), settings.peer_port
        )
        await self._operator_server.start()
        await self._caller_server.start()
        tasks = [asyncio.create_task(job) for job in self._background_jobs()]
        tasks.append(asyncio.create_task(peers.serve_forever()))
        log.info("daemon state is {}", self._node.lifecycle)
        await self._drain_requested.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._operator_server.stop()
        self._node.links.close()
        peers.close()
        self._node.counters.flush()

    def _background_jobs(self) -> list[Coroutine[None, None, None]]:
        return [
            self._discovery.run(),
            self._discovery.run_reclaim_check(),
            self._gossiper.run(),
            self._configuration_sync.run(),
            self._configuration_sync.run_watch(),
            self._configuration_sync.run_periodic_read(),
            self._node.counters.flush_forever(),
            ControlTask(self._node).run(),
            self._expire_streams(),
        ]

    async def _drain(self) -> None:
        """Become unready for the load balancer, complete requests, record outcomes."""
        node = self._node
        node.advance("drain")
        log.info("daemon state is {}", node.lifecycle)
        node.membership.drain()
        await self._gossiper.exchange_once()
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        await self._finish_requests()
        await self._flush_outcomes()
        node.advance("drained")
        log.info("daemon state is {}", node.lifecycle)

    async def _flush_outcomes(self) -> None:
        """Wait for at most ``DRAIN_FLUSH_SECONDS`` until all outcomes are recorded."""
        node = self._node
        deadline = node.now() + DRAIN_FLUSH_SECONDS
        while (
            unrecorded_count := node.claim_router.pending_report_count
            + node.claim_store.unfinished_count
        ):
            if node.now() >= deadline:
                log.warning("stopping with {} outcomes not recorded", unrecorded_count)
                return
            await asyncio.sleep(FLUSH_POLL_SECONDS)

    async def _finish_requests(self) -> None:
        """Complete open requests; hand over the streams still open before a reclaim."""
        stop_task = asyncio.create_task(self._caller_server.stop())
        seconds_left = self._leaves_at - HANDOVER_SECONDS - self._node.now()
        timeout = None if math.isinf(seconds_left) else max(0.0, seconds_left)
        _, pending = await asyncio.wait({stop_task}, timeout=timeout)
        if pending:
            await hand_over_streams(self._node, self._streams)
            self._caller_server.force_exit = True
            await stop_task

    async def _expire_streams(self) -> None:
        while True:
            await asyncio.sleep(STREAM_EXPIRY_SECONDS)
            self._streams.expire(self._node.now())

    def _on_reclaim(self, leaves_at: float) -> None:
        self._leaves_at = min(self._leaves_at, leaves_at)
        self._drain_requested.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._drain_requested.set)
        loop.add_signal_handler(signal.SIGINT, self._drain_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_hangup)
        loop.add_signal_handler(signal.SIGUSR1, self._print_state)

    def _log_hangup(self) -> None:
        """Log SIGHUP, whose default action would end the daemon without a drain."""
        log.info("ignoring SIGHUP: settings are read only at start")

    def _print_state(self) -> None:
        dump = dump_state(self._node, self._streams)
        sys.stderr.write(dump.decode() + "\n")
        sys.stderr.flush()


def _build_node(settings: DaemonSettings, session: aiohttp.ClientSession) -> Node:
    incarnation = int(time.time() * 1000)
    info = DaemonInfo(
        address=str(settings.address),
        data_centre=settings.data_centre,
        status=DaemonStatus.ALIVE,
    )
    store = StoreClient(HttpClient.from_url(settings.key_value_service))
    membership = Membership(settings.host, incarnation, info)
    claim_store = ClaimStore(store, time.time)
    links = PeerLinks(settings.peer_port)
    random = Random(f"{settings.host}-{incarnation}")
    return Node(
        settings=settings,
        incarnation=incarnation,
        membership=membership,
        counters=Counters(settings.statsd, f"amaranthhollow.{settings.host}"),
        claim_router=ClaimRouter(
            settings.host, claim_store, membership, links, time.time
        ),
        claim_store=claim_store,
        engines=EngineClient(session),
        services=ServiceClient(session),
        store=store,
        host_list=HostListClient(session, str(settings.host_list)),
        links=links,
        random=random,
        applied=AppliedConfiguration(),
        chooser=EndpointChooser(settings.data_centre, random),
    )
