"""Orders engines as planned, while this host holds the duties."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
from result import Err

from amaranthhollow.decisions.planner import (
    EngineCounts,
    EngineOrder,
    count_engines,
    plan_service,
)
from amaranthhollow.platform.cloud import DutyHolder
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.decisions.site import Service
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.cloud import CloudClient

__all__ = ["ScalingDuty"]

TICK_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 0.8
# An order that had no effect is given again when the engines should have started.
REPEAT_SECONDS = 6.0
# Engines are refused where they are not to be had; that lasts several seconds.
UNAVAILABLE_SECONDS = 3.0
# Engines that are to be left when a data centre is lost.
NEEDED_ENGINES = 6

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

    async def run(self) -> None:
        """Order engines until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            holding = self._host.duty.holding
            configuration = self._host.site.configuration
            if holding is None or configuration is None:
                continue
            if self._token != holding.fencing_token:
                self._token = holding.fencing_token
                self._sent_by_subject.clear()
                self._next_at_by_subject.clear()
            for service in configuration.services_by_name.values():
                if service.scaling is not None:
                    await self._scale(service)

    async def _scale(self, service: Service) -> None:
        endpoints = [
            endpoint
            for endpoint in self._host.site.endpoints.all()
            if endpoint.listed.deployment == service.name
        ]
        counts = count_engines(endpoints)
        plan = plan_service(service.name, service.scaling, counts, NEEDED_ENGINES)
        for order in plan:
            if self._is_due(order, counts.get(order.data_centre, EngineCounts())):
                await self._send(order)

    def _is_due(self, order: EngineOrder, counts: EngineCounts) -> bool:
        if now() < self._next_at_by_subject.get(order.subject, 0.0):
            return False
        present = counts.reclaimable if order.is_reclaimable else counts.on_demand
        is_known = self._sent_by_subject.get(order.subject) == order
        return not is_known or present != order.count

    async def _send(self, order: EngineOrder) -> None:
        host = self._host
        if not host.duty.may_act(now(), CALL_TIMEOUT_SECONDS):
            return
        holder = DutyHolder(host.name, self._token)
        result = await self._cloud.order(order, holder, CALL_TIMEOUT_SECONDS)
        is_taken = not isinstance(result, Err) and result.ok_value
        host.metrics.cloud_calls.labels("order", is_taken).inc()
        pause = REPEAT_SECONDS if is_taken else UNAVAILABLE_SECONDS
        self._next_at_by_subject[order.subject] = now() + pause
        if is_taken:
            self._sent_by_subject[order.subject] = order
        log.info(
            "engines ordered" if is_taken else "engines not to be had",
            extra={
                "service": order.service,
                "data_centre": order.data_centre,
                "reclaimable": order.is_reclaimable,
                "count": order.count,
                "fencing_token": self._token,
            },
        )
