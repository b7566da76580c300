"""Composes the daemon of an entry host and runs it from start to shutdown."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import time
from math import nan
from random import Random
from typing import TYPE_CHECKING

import logbook

from amaranthhollow import __version__
from amaranthhollow.build import build_name
from amaranthhollow.decisions.choice import EndpointChooser
from amaranthhollow.decisions.duties import DutyState
from amaranthhollow.decisions.membership import DaemonInfo, DaemonStatus, Membership
from amaranthhollow.decisions.memory_budget import MemoryBudget, budget_bytes
from amaranthhollow.decisions.peer_protocols import PeerProtocol
from amaranthhollow.decisions.quota import QuotaLimiter, QuotaTolerance
from amaranthhollow.decisions.site import RequestLimits
from amaranthhollow.decisions.site_clock import SiteClock
from amaranthhollow.decisions.usage import UsageCounts
from amaranthhollow.entry.brittle_limits import BrittleLimits
from amaranthhollow.entry.crash_detector import CrashDetector
from amaranthhollow.entry.crash_log import CrashLog
from amaranthhollow.entry.descriptors import descriptor_budget
from amaranthhollow.entry.duty_lease import DutyLease
from amaranthhollow.entry.endpoint_limits import EndpointLimits
from amaranthhollow.entry.endpoint_statements import StatementLimits
from amaranthhollow.entry.host import Host
from amaranthhollow.entry.link_probe import LinkProbe
from amaranthhollow.entry.memory import memory_limit_megabytes
from amaranthhollow.entry.memory_log import MemoryLog
from amaranthhollow.entry.metrics import CONTENT_TYPE, Metrics
from amaranthhollow.entry.peer_documents import PeerDocuments
from amaranthhollow.entry.peering import Peering
from amaranthhollow.entry.relaying import Relaying
from amaranthhollow.entry.request_handler import RequestHandler, forwarding_callbacks
from amaranthhollow.entry.rollout_duty import RolloutDuty
from amaranthhollow.entry.rollouts import Rollouts
from amaranthhollow.entry.scaling_duty import ScalingDuty
from amaranthhollow.entry.site_sync import HostRegistration, SiteSync
from amaranthhollow.entry.stream_origins import StreamOrigins
from amaranthhollow.entry.supervisor import Supervisor
from amaranthhollow.entry.usage_duty import UsageDuty
from amaranthhollow.peers.endpoint_dialer import EndpointDialer
from amaranthhollow.peers.relay_listener import RelayListener
from amaranthhollow.platform.cloud import CloudClient
from amaranthhollow.platform.documents import decode_configuration, decode_endpoint
from amaranthhollow.platform.endpoints import (
    decode_response_head,
    encode_dispatch,
    expected_echo,
)
from amaranthhollow.platform.store import StoreClient
from amaranthhollow.serving.admission import Admission, AdmissionLimits
from amaranthhollow.serving.attempt import EndpointCodec, address_of
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.connection_pool import ConnectionPool
from amaranthhollow.serving.forwarder import Forwarder
from amaranthhollow.serving.held_memory import HeldMemory
from amaranthhollow.serving.http_client import HttpClient
from amaranthhollow.serving.listener import Listener
from amaranthhollow.state.site_state import SiteDecoders, SiteState

if TYPE_CHECKING:
    from amaranthhollow.entry.settings import EntrySettings
    from amaranthhollow.serving.exchange import Exchange

__all__ = ["Daemon", "run_entry_host"]

# Allows for the time to read a request before its key is checked.
KEY_AGE_MARGIN_SECONDS = 0.5
MAINTENANCE_INTERVAL_SECONDS = 0.5
# The load balancer checks readiness once a second and removes a host after two failed
# checks.
BALANCER_REMOVAL_SECONDS = 3.0
# At the end of the shutdown the platform kills the process and cuts open requests.
EXIT_MARGIN_SECONDS = 0.4
# Callers whose requests are still incomplete then are told that they have not run.
UNREAD_MARGIN_SECONDS = 0.5
DRAIN_POLL_INTERVAL_SECONDS = 0.05
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
ACCEPT_WARNING_SECONDS = 1.0

log = logbook.Logger("daemon")


async def run_entry_host(settings: EntrySettings) -> None:
    """Run until SIGTERM, then finish open requests within the shutdown time."""
    await Daemon(settings).run()


class Daemon:
    """Composes the components of one daemon and runs their tasks."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self.host = host = _build_host(settings)
        self._pool = ConnectionPool(host.dialer.dial)
        host.dialer.notify_links_lost = self._pool.close_idle
        codec = EndpointCodec(encode_dispatch, expected_echo, decode_response_head)
        self.limits = limits = EndpointLimits(host)
        self.brittle = brittle = BrittleLimits(host)
        documents = PeerDocuments(host)
        self.peering = Peering(host, documents)
        self.statements = statements = StatementLimits(host)
        cloud = CloudClient(HttpClient(*_split_address(settings.cloud)))
        self._duty_lease = DutyLease(host, cloud)
        self._usage_duty = UsageDuty(host, cloud)
        self._scaling_duty = ScalingDuty(host, cloud)
        consumers = (host.crash_detector, limits, brittle, statements, host.rollouts)
        for consumer in (*consumers, self._scaling_duty):
            self.peering.register(consumer)
        self._origins = StreamOrigins(host, self.peering)
        self._crash_log = CrashLog(host)
        self._forwarder = Forwarder(
            host.site,
            self._pool,
            host.chooser,
            codec,
            forwarding_callbacks(host, limits, brittle, statements, self._origins),
        )
        self._max_key_age_seconds = (
            settings.bounds.key_removal_ms / 1000 - KEY_AGE_MARGIN_SECONDS
        )
        admission = Admission(
            host.site,
            host.quotas,
            lambda: host.host_counts,
            AdmissionLimits(self._max_key_age_seconds),
            host.random.random,
        )
        budget = descriptor_budget(settings.max_descriptors)
        limit = memory_limit_megabytes(settings.max_memory_mb)
        self._memory = HeldMemory(MemoryBudget(budget_bytes(limit)))
        self._handler = RequestHandler(
            host, admission, self._forwarder, budget.requests
        )
        address = settings.address
        self._callers = Listener(
            self._handler.handle,
            *_split_address(settings.callers),
            self._request_limits,
            budget.caller_connections,
            self._memory,
        )
        self._readiness = Listener(
            self._serve_readiness,
            *_split_address(settings.readiness),
            max_connections=budget.internal_connections,
            memory=self._memory,
        )
        self._metrics = Listener(
            self._serve_metrics,
            address,
            settings.metrics_port,
            max_connections=budget.internal_connections,
            memory=self._memory,
        )
        self._documents = Listener(
            documents.serve,
            address,
            settings.peer_ports.first,
            max_connections=budget.internal_connections,
            memory=self._memory,
        )
        self._relay = RelayListener(
            address,
            settings.peer_ports.relay,
            Relaying(host, statements),
            budget.relayed_connections,
        )
        self._stop_requested = asyncio.Event()
        self._was_ready: bool | None = None
        self._memory_log = MemoryLog(self._memory, host.metrics)
        self._next_accept_warning_at = 0.0

    async def run(self) -> None:
        """Start all components, serve until SIGTERM, and shut down."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._handle_loop_error)
        loop.add_signal_handler(signal.SIGTERM, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_settings_change)
        listeners = (
            self._callers,
            self._readiness,
            self._metrics,
            self._documents,
            self._relay,
        )
        for listener in listeners:
            await listener.start()
        await self.peering.start()
        host = self.host
        supervisor = Supervisor(host.metrics, host.random.random)
        runs_by_name = {
            "peering": self.peering.run,
            "site sync": SiteSync(host).run,
            "host registration": HostRegistration(host).run,
            "duty lease": self._duty_lease.run,
            "usage duty": self._usage_duty.run,
            "scaling duty": self._scaling_duty.run,
            "rollout duty": RolloutDuty(host).run,
            "crash detector": host.crash_detector.run,
            "crash log": self._crash_log.run,
            "stream origins": self._origins.run,
            "link probe": LinkProbe(host).run,
            "maintenance": self._run_maintenance,
        }
        for name, run in runs_by_name.items():
            supervisor.start(name, run)
        self._log_start()
        await self._stop_requested.wait()
        await self._drain()
        supervisor.cancel()
        for listener in listeners:
            listener.stop()
        log.info("stopped", extra={"host": host.name})

    def _handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Count connections that could not be accepted, and log them now and then.

        The event loop reports each of them, up to a whole backlog at a time.
        """
        error = context.get("exception")
        is_accept = "socket" in context and isinstance(error, OSError)
        if not is_accept or error.errno not in OUT_OF_RESOURCES:
            loop.default_exception_handler(context)
            return
        name = errno.errorcode[error.errno]
        self.host.metrics.failed_accepts.increment(name)
        if now() >= self._next_accept_warning_at:
            self._next_accept_warning_at = now() + ACCEPT_WARNING_SECONDS
            log.warning(
                "connections not accepted",
                extra={
                    "error": name,
                    "callers": len(self._callers.connections),
                    "relayed_peers": len(self._relay.connections),
                },
            )

    def _log_start(self) -> None:
        host, build = self.host, build_name()
        host.metrics.build_info.values[build] = 1.0
        log.info(
            "started",
            extra={
                "host": host.name,
                "incarnation": host.incarnation,
                "software": __version__,
                "build": build,
                "protocol": int(max(PeerProtocol)),
            },
        )

    async def _drain(self) -> None:
        """Wait until the load balancer removes this host, then finish open requests."""
        stopped_at = now()
        exit_at = stopped_at + self._settings.bounds.shutdown - EXIT_MARGIN_SECONDS
        self.host.is_draining = True
        self._callers.is_draining = True
        log.info("draining", extra={"open": self._callers.open_exchanges})
        await asyncio.sleep(BALANCER_REMOVAL_SECONDS)
        self._handler.rejects_new_requests = True
        self._callers.rejects_new_requests = True
        while now() < exit_at and (
            self._callers.connections or self._relay.connections
        ):
            self._callers.close_idle()
            if now() >= exit_at - UNREAD_MARGIN_SECONDS:
                self._callers.reject_unread()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_SECONDS)

    async def _run_maintenance(self) -> None:
        """Release the state of endpoints no longer listed, and update gauges."""
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
            site, metrics = self.host.site, self.host.metrics
            listed = [e for e in site.endpoints.all() if e.is_listed]
            relays = () if self.host.dialer.has_links else self.host.relays()
            self._pool.retain({address_of(endpoint) for endpoint in listed}, relays)
            self.host.chooser.retain({endpoint.host for endpoint in listed})
            self.limits.forget_unlisted()
            self.brittle.forget_unlisted()
            self.statements.update()
            self._origins.update()
            instant = now()
            metrics.configuration_age.value = site.configuration_freshness.age(instant)
            metrics.endpoints_age.value = site.endpoints_freshness.age(instant)
            metrics.endpoint_entries.values["listed"] = len(site.snapshot.entries)
            metrics.endpoint_entries.values["usable"] = sum(
                not endpoint.is_reclaimed for endpoint in listed
            )
            self._update_gauges()
            self._memory_log.update(self._callers, instant)
            self._handler.refusal_log.flush(instant)
            self._update_readiness()

    def _update_gauges(self) -> None:
        """Update the gauges of what bounds the requests that this host serves."""
        host, metrics = self.host, self.host.metrics
        metrics.links_lost.value = float(not host.dialer.has_links)
        metrics.connections.values["callers"] = len(self._callers.connections)
        metrics.connections.values["relayed peers"] = len(self._relay.connections)
        metrics.closed_connections.values["idle"] = self._callers.evicted_count
        metrics.closed_connections.values["no room"] = self._callers.rejected_count
        metrics.quota_levels.values = host.quotas.level_seconds()
        metrics.suspects.values |= host.crash_detector.counts_by_state()
        rejected_count = host.crash_detector.rejected_count
        if rejected_count:
            metrics.unreadable_evidence.values["future",] = rejected_count

    def _request_limits(self) -> RequestLimits:
        configuration = self.host.site.configuration
        return RequestLimits() if configuration is None else configuration.limits

    def _update_readiness(self) -> bool:
        """Return whether the load balancer may send callers here, and log changes."""
        site = self.host.site
        age = site.configuration_freshness.age(now())
        is_ready = (
            not self.host.is_draining
            and site.configuration is not None
            and site.has_endpoint_list
            and self._crash_log.has_settled
            and age < self._max_key_age_seconds
        )
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            log.info(
                "ready" if is_ready else "not ready",
                extra={
                    "version": site.version,
                    "version_age": age,
                    "has_endpoint_list": site.has_endpoint_list,
                },
            )
        return is_ready

    async def _serve_readiness(self, exchange: Exchange) -> None:
        exchange.respond(200 if self._update_readiness() else 503, [], b"")

    async def _serve_metrics(self, exchange: Exchange) -> None:
        self.host.metrics.open_descriptors.value = _open_descriptors()
        body = self.host.metrics.exposition()
        exchange.respond(200, [(b"content-type", CONTENT_TYPE)], body)

    def _log_settings_change(self) -> None:
        """Log that changed settings need a restart, since addresses are bound once."""
        log.info("settings changed; restart to apply them")


def _build_host(settings: EntrySettings) -> Host:
    incarnation = int(time.time() * 1000)
    random = Random(f"{settings.host}-{incarnation}")
    info = DaemonInfo(settings.address, settings.data_centre, DaemonStatus.ALIVE)
    metrics = Metrics()

    def count_call(kind: str, succeeded: bool) -> None:
        metrics.store_calls.increment(kind, succeeded)

    bounds = settings.bounds
    start_duty = (
        DutyState.at_first_start if settings.is_first_start else DutyState.at_restart
    )
    site = SiteState(SiteDecoders(decode_configuration, decode_endpoint))
    membership = Membership(settings.host, incarnation, info)
    clock = SiteClock(time.time(), now())
    dialer = EndpointDialer(
        lambda: host.relays(), settings.peer_ports.relay, metrics.dials.increment
    )
    host = Host(
        settings=settings,
        incarnation=incarnation,
        site=site,
        membership=membership,
        crash_detector=CrashDetector(site, membership, clock, dialer),
        clock=clock,
        dialer=dialer,
        chooser=EndpointChooser(settings.data_centre, random),
        usage=UsageCounts(bounds.usage_window),
        store=StoreClient(HttpClient(*_split_address(settings.store)), count_call),
        metrics=metrics,
        random=random,
        duty=start_duty(bounds.lease_ms / 1000, now()),
        quotas=QuotaLimiter(
            QuotaTolerance(bounds.quota_over, bounds.quota_slack, bounds.quota_window),
            restarted_at=None if settings.is_first_start else now(),
            draw=random.random,
        ),
    )
    host.rollouts = Rollouts(host)
    host.store.add_restore_listener(host.store_restored)
    return host


def _open_descriptors() -> float:
    """Return how many descriptors are open, or NaN if that cannot be read."""
    try:
        return float(len(os.listdir("/proc/self/fd")))
    except OSError:
        return nan


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
