"""Orders engines to serve the configured models, under one lease per deployment."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

import logbook
from result import Err

from amaranthhollow.configuration.model import ModelDeployment
from amaranthhollow.decisions.control import (
    ModelVersion,
    may_send_order,
    missing_orders,
)
from amaranthhollow.decisions.rendezvous import ranked
from amaranthhollow.state.lease_store import NamedLease

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.control import Order
    from amaranthhollow.decisions.endpoints import Endpoint

__all__ = ["ControlTask"]

RECONCILE_SECONDS = 1.0
CONTENDERS_PER_LEASE = 2

log = logbook.Logger("control")


class ControlTask:
    """Reconciles engines with the configuration for the deployments leased to it."""

    def __init__(self, node: Node) -> None:
        """Acquire the leases of the deployments for which ``node`` is a contender."""
        self._node = node
        self._leases_by_deployment: dict[str, NamedLease] = {}

    async def run(self) -> None:
        """Reconcile all deployments at each interval, until cancelled."""
        while True:
            await asyncio.sleep(RECONCILE_SECONDS)
            deployments = self._node.configuration.deployments
            await asyncio.gather(
                *(
                    self._reconcile(name, deployment)
                    for name, deployment in deployments.items()
                    if isinstance(deployment, ModelDeployment)
                )
            )

    async def _reconcile(self, name: str, deployment: ModelDeployment) -> None:
        node = self._node
        lease = self._leases_by_deployment.setdefault(
            name, NamedLease(node.store, name, node.settings.host, node.now)
        )
        if lease.held_lease is None and not self._is_contender(name):
            return
        was_held = lease.held_lease is not None
        await lease.acquire_or_renew()
        if was_held is not (lease.held_lease is not None):
            state = "lost" if was_held else "held"
            log.info("lease of deployment {} is {}", name, state)
        if lease.held_lease is not None:
            await self._send_missing_orders(name, deployment, lease)

    def _is_contender(self, name: str) -> bool:
        hosts_by_rank = ranked(f"lease-{name}", self._node.membership.active_hosts)
        return self._node.settings.host in islice(hosts_by_rank, CONTENDERS_PER_LEASE)

    async def _send_missing_orders(
        self, name: str, deployment: ModelDeployment, lease: NamedLease
    ) -> None:
        node = self._node
        endpoints_by_host = {e.host: e for e in node.endpoints.usable(name, node.now())}
        hosts = list(endpoints_by_host)
        results = await asyncio.gather(
            *(
                node.engines.fetch_last_order(endpoints_by_host[host].url)
                for host in hosts
            )
        )
        served_by_host = {
            host: result.ok_value
            for host, result in zip(hosts, results, strict=True)
            if not isinstance(result, Err)
        }
        if lease.held_lease is None:
            return
        wanted = ModelVersion(deployment.model, deployment.version)
        token = lease.held_lease.fencing_token
        orders = missing_orders(wanted, served_by_host, token)
        await asyncio.gather(
            *(
                self._send_order(endpoints_by_host[host], order, deployment, lease)
                for host, order in orders.items()
            )
        )

    async def _send_order(
        self,
        endpoint: Endpoint,
        order: Order,
        deployment: ModelDeployment,
        lease: NamedLease,
    ) -> None:
        """Send one order, if the lease allows it immediately before sending."""
        checks_token = deployment.checks_fencing_token
        node = self._node
        if not may_send_order(lease.held_lease, node.now(), checks_token=checks_token):
            node.counters.increment("orders.held_back")
            return
        sent = await node.engines.send_order(endpoint.url, order)
        counter = "orders.failed" if isinstance(sent, Err) else "orders.sent"
        node.counters.increment(counter)
