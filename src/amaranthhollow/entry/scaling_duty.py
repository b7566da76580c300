"""Orders engines as planned, while this host holds the duties."""

from __future__ import annotations

import asyncio
from operator import attrgetter
from typing import TYPE_CHECKING

import logbook
from result import Err

from amaranthhollow.decisions.demand import DemandEstimate, busy_engines
from amaranthhollow.decisions.planner import (
    EngineCounts,
    EngineOrder,
    count_engines,
    plan_service,
)
from amaranthhollow.platform.cloud import DutyHolder
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.site import Service
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.cloud import CloudClient

__all__ = ["ScalingDuty"]

CALL_TIMEOUT_SECONDS = 0.8
# An order that had no effect is given again when the engines should have started.
REPEAT_SECONDS = 6.0
# Engines are refused where they are not to be had; that lasts several seconds.
UNAVAILABLE_SECONDS = 3.0
SAMPLE_SECONDS = 0.1
# What runs at the start is known after the platform's seed lag of 3 s and a heartbeat
# of 1.2 s (system page, bounds; settings); no plan is made before.
SETTLE_SECONDS = 4.2
SAMPLES_PER_PLAN = 5

log = logbook.Logger("scaling")


class ScalingDuty:
    """Sends what changed in the plan, and repeats what had no effect."""

    def __init__(self, host: Host, cloud: CloudClient) -> None:
        """Order on behalf of ``host``."""
        self._host = host
        self._cloud = cloud
        self._token = 0
        self._sent_by_subject: dict[tuple[str, str, bool], EngineOrder] = {}
        self._next_at_by_subject: dict[tuple[str, str, bool], float] = {}
        self._refused_until_by_subject: dict[tuple[str, str, bool], float] = {}
        self._demand_by_service: dict[str, DemandEstimate] = {}
        self._seen_at_by_service: dict[str, float] = {}

    async def run(self) -> None:
        """Sample the demand and order engines until cancelled."""
        samples = 0
        while True:
            await asyncio.sleep(SAMPLE_SECONDS)
            services = self._scaled_services()
            for service in services:
                self._sample(service)
            samples += 1
            if samples % SAMPLES_PER_PLAN == 0 and self._holds_duty():
                for service in services:
                    await self._scale(service)

    def _scaled_services(self) -> list[Service]:
        configuration = self._host.site.configuration
        if configuration is None:
            return []
        services = configuration.services_by_name.values()
        return [service for service in services if service.scaling is not None]

    def _holds_duty(self) -> bool:
        holding = self._host.duty.held_lease
        if holding is not None and self._token != holding.fencing_token:
            self._token = holding.fencing_token
            self._sent_by_subject.clear()
            self._next_at_by_subject.clear()
        return holding is not None

    def _endpoints(self, service: Service) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._host.site.endpoints.all()
            if endpoint.listed.deployment == service.name and endpoint.is_listed
        ]

    def _sample(self, service: Service) -> None:
        chooser, instant = self._host.chooser, now()
        endpoints = self._endpoints(service)
        if endpoints:
            self._seen_at_by_service.setdefault(service.name, instant)
        seen_at = self._seen_at_by_service.get(service.name, instant)
        if instant < seen_at + SETTLE_SECONDS:
            return
        demand = self._demand_by_service.get(service.name)
        if demand is None or not demand.has_traffic:
            provided = self._provided(service, endpoints, instant)
            demand = max(provided, demand or provided, key=attrgetter("busy"))
        busy = busy_engines(chooser.load(endpoint.host) for endpoint in endpoints)
        self._demand_by_service[service.name] = demand.with_sample(busy, instant)

    def _provided(
        self, service: Service, endpoints: list[Endpoint], instant: float
    ) -> DemandEstimate:
        """Return the estimate from the engines that the operator has provided.

        Those that were ordered here are reclaimable, with enough of them for the loss
        of a data centre; they count where no others are.
        """
        own = [e for e in endpoints if not e.listed.is_reclaimable]
        if own:
            return DemandEstimate.from_engines(len(own), instant)
        centres = len(service.scaling.price_by_data_centre)
        outlasting = len(endpoints) * (centres - 1) // max(1, centres)
        return DemandEstimate.from_engines(outlasting, instant)

    async def _scale(self, service: Service) -> None:
        demand = self._demand_by_service.get(service.name)
        if demand is None:
            return
        counts = count_engines(self._endpoints(service))
        needed = demand.needed_engines
        instant = now()
        unavailable = {
            data_centre
            for (name, data_centre, is_reclaimable), until in (
                self._refused_until_by_subject.items()
            )
            if name == service.name and is_reclaimable and instant < until
        }
        plan = plan_service(
            service.name,
            service.scaling,
            counts,
            needed,
            demand.needed_with_fallback,
            unavailable,
            is_idle=self._host.settings.is_first_start and not demand.has_traffic,
        )
        for order in plan:
            if self._is_due(order, counts.get(order.data_centre, EngineCounts())):
                await self._send(order, needed)

    def _is_due(self, order: EngineOrder, counts: EngineCounts) -> bool:
        if now() < self._next_at_by_subject.get(order.target, 0.0):
            return False
        present = counts.reclaimable if order.is_reclaimable else counts.on_demand
        is_known = self._sent_by_subject.get(order.target) == order
        return not is_known or present != order.count

    async def _send(self, order: EngineOrder, needed: int) -> None:
        host = self._host
        if not host.duty.may_call(now(), CALL_TIMEOUT_SECONDS):
            return
        holder = DutyHolder(host.name, self._token)
        result = await self._cloud.order(order, holder, CALL_TIMEOUT_SECONDS)
        is_taken = not isinstance(result, Err) and result.ok_value
        host.metrics.cloud_calls.labels("order", is_taken).inc()
        pause = REPEAT_SECONDS if is_taken else UNAVAILABLE_SECONDS
        self._next_at_by_subject[order.target] = now() + pause
        if is_taken:
            self._sent_by_subject[order.target] = order
        else:
            until = now() + 2 * UNAVAILABLE_SECONDS
            self._refused_until_by_subject[order.target] = until
        log.info(
            "engines ordered" if is_taken else "engines not to be had",
            extra={
                "service": order.service,
                "data_centre": order.data_centre,
                "reclaimable": order.is_reclaimable,
                "count": order.count,
                "needed": needed,
                "fencing_token": self._token,
            },
        )
