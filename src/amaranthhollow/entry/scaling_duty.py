"""Orders engines from the cloud API while this host holds the duties."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, ClassVar

import logbook
from result import Err, Ok

from amaranthhollow.decisions.demand import ServiceDemand
from amaranthhollow.decisions.order_schedule import OrderSchedule
from amaranthhollow.decisions.planner import (
    EngineCounts,
    EngineOrder,
    count_engines,
    larger_counts,
    plan_service,
)
from amaranthhollow.decisions.scaling_state import (
    SCALING_FACT,
    ScalingState,
    scaling_fact,
)
from amaranthhollow.decoding import decode_msgpack
from amaranthhollow.platform.cloud import DutyHolder
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from amaranthhollow.decisions.demand import DemandEstimate
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.decisions.site import Service
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.cloud import CloudClient

__all__ = ["ScalingDuty"]

CALL_TIMEOUT_SECONDS = 0.8
SAMPLE_INTERVAL_SECONDS = 0.1
# The other hosts sample so that the next holder starts from the recent demand.
STANDBY_SAMPLE_INTERVAL_SECONDS = 0.5
PLAN_INTERVAL_SECONDS = 0.5
# Bounds what a demand that changes all the time adds to the gossip of all hosts.
PUBLISH_INTERVAL_SECONDS = 1.0
# An older demand says less than the traffic of the moment.
MAX_INHERITED_AGE_SECONDS = 15.0

log = logbook.Logger("scaling")


class ScalingDuty:
    """Samples demand, sends changed orders, and resends those without effect.

    The holder publishes the demand and its orders, so that the next one continues from
    them. A holder that has not observed traffic for long enough, as after a restart,
    orders no fewer engines than there are.
    """

    fact_kinds: ClassVar = (SCALING_FACT,)

    def __init__(self, host: Host, cloud: CloudClient) -> None:
        """Order engines on behalf of ``host``."""
        self._host = host
        self._cloud = cloud
        self._fencing_token = 0
        self._schedule = OrderSchedule()
        self._demand_by_service: dict[str, ServiceDemand] = {}
        self._published_by_service: dict[str, ScalingState] = {}
        self._next_publish_at = 0.0
        self._next_plan_at = 0.0
        self._sequence = 0
        self._floors_by_service: dict[str, dict[str, EngineCounts]] = {}

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Keep what another holder has published."""
        for fact in facts:
            match decode_msgpack(fact.value, ScalingState):
                case Ok(state):
                    self._host.adopt_scaling_state(fact.name, state)
                case Err(error):
                    raise ValueError(error)

    async def run(self) -> None:
        """Sample the demand and order engines until cancelled."""
        while True:
            is_holder = self._host.duty.held_lease is not None
            await asyncio.sleep(
                SAMPLE_INTERVAL_SECONDS
                if is_holder
                else STANDBY_SAMPLE_INTERVAL_SECONDS
            )
            await self.update()

    async def update(self) -> None:
        """Sample the demand, and order engines if that is due."""
        services = self._scaled_services()
        for service in services:
            self._sample_demand(service)
        if now() >= self._next_plan_at and self._refresh_duty():
            self._next_plan_at = now() + PLAN_INTERVAL_SECONDS
            for service in services:
                await self._scale_service(service)
            self._publish(services)

    def _scaled_services(self) -> list[Service]:
        site = self._host.site
        configuration = site.configuration
        if configuration is None or not site.has_endpoint_list:
            return []
        services = configuration.services_by_name.values()
        return [service for service in services if service.scaling is not None]

    def _refresh_duty(self) -> bool:
        """Return whether this host holds the duties; a new term clears sent orders."""
        held_lease = self._host.duty.held_lease
        if held_lease is not None and self._fencing_token != held_lease.fencing_token:
            self._fencing_token = held_lease.fencing_token
            self._schedule.start_term()
            for service, state in self._host.scaling_by_service.items():
                self._schedule.adopt(service, state.orders, self._wall_offset())
        return held_lease is not None

    def _wall_offset(self) -> float:
        """Return the time that the hosts agree on, less that of this process."""
        return self._host.wall_time() - now()

    def _publish(self, services: list[Service]) -> None:
        """Publish what has changed, and keep it to be stored with the usage."""
        host, instant = self._host, now()
        if instant < self._next_publish_at:
            return
        for service in services:
            demand = self._demand_by_service[service.name].estimate
            if demand is None or not demand.has_traffic:
                continue
            records = self._schedule.records(service.name, self._wall_offset())
            state = ScalingState(
                round(demand.busy, 2),
                round(host.wall_time(), 2),
                records,
            )
            host.scaling_by_service[service.name] = state
            published = self._published_by_service.get(service.name)
            if not state.differs_from(published):
                continue
            self._sequence += 1
            fact = scaling_fact(
                service.name, state, self._fencing_token, self._sequence
            )
            if fact is not None:
                host.membership.merge([fact], instant)
            self._published_by_service[service.name] = state
            self._next_publish_at = instant + PUBLISH_INTERVAL_SECONDS

    def _endpoints(self, service: Service) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._host.site.endpoints.all()
            if endpoint.listed.deployment == service.name and endpoint.is_listed
        ]

    def _sample_demand(self, service: Service) -> None:
        chooser = self._host.chooser
        endpoints = self._endpoints(service)
        times = self._host.prompt_times(service.name)
        busy = times.busy_engines(chooser.load(e.host) for e in endpoints)
        demand = self._demand_by_service.get(service.name, ServiceDemand())
        demand = self._inherit(service, demand)
        is_first_start = self._host.settings.is_first_start
        engines = _engines_without_reserve(service, endpoints, is_first_start)
        self._demand_by_service[service.name] = demand.with_sample(engines, busy, now())

    def _inherit(self, service: Service, demand: ServiceDemand) -> ServiceDemand:
        """Return the demand with what the previous holder observed.

        A process that has observed traffic for long enough relies on itself.
        """
        state = self._host.scaling_by_service.get(service.name)
        if state is None or self._is_watched(service, demand):
            return demand
        age = self._host.wall_time() - state.observed_at
        if age > MAX_INHERITED_AGE_SECONDS:
            return demand
        inherited = demand.inherit(state.busy, now())
        if inherited is not demand and demand.estimate is None:
            log.info(
                "demand inherited",
                extra={
                    "service": service.name,
                    "busy": state.busy,
                    "age": round(age, 2),
                },
            )
        return inherited

    def _is_watched(self, service: Service, demand: ServiceDemand) -> bool:
        speed = self._host.prompt_times(service.name).tokens_per_second
        return demand.is_watched(now(), knows_speed=speed is not None)

    async def _scale_service(self, service: Service) -> None:
        service_demand = self._demand_by_service[service.name]
        demand = service_demand.estimate
        if demand is None:
            return
        counts = count_engines(self._endpoints(service))
        instant = now()
        floors = self._floors(service, service_demand, counts)
        plan = plan_service(
            service.name,
            service.scaling,
            counts,
            demand.needed_engines,
            demand.needed_with_on_demand,
            self._schedule.unavailable_data_centres(service.name, instant),
            is_idle=self._host.settings.is_first_start and not demand.has_traffic,
            floors=floors,
        )
        for order in plan:
            present = counts.get(order.data_centre, EngineCounts())
            if self._schedule.is_due(order, present, now()):
                await self._send_order(order, demand, floors is not None)

    def _floors(
        self,
        service: Service,
        demand: ServiceDemand,
        counts: Mapping[str, EngineCounts],
    ) -> dict[str, EngineCounts] | None:
        """Return the engines that may not be taken away yet, or None if all may.

        These are all that were listed or ordered since this process started, as the
        list may lack engines for a while after an outage of the store.
        """
        if self._host.settings.is_first_start or self._is_watched(service, demand):
            self._floors_by_service.pop(service.name, None)
            return None
        starting = self._schedule.starting_engines(service.name, now())
        known = self._floors_by_service.get(service.name, {})
        floors = larger_counts(known, larger_counts(counts, starting))
        self._floors_by_service[service.name] = floors
        return floors

    async def _send_order(
        self, order: EngineOrder, demand: DemandEstimate, has_floors: bool
    ) -> None:
        host = self._host
        if not host.duty.may_call(now(), CALL_TIMEOUT_SECONDS):
            return
        holder = DutyHolder(host.name, self._fencing_token)
        result = await self._cloud.order_engines(order, holder, CALL_TIMEOUT_SECONDS)
        is_accepted = not isinstance(result, Err) and result.ok_value
        host.metrics.cloud_calls.increment("order", is_accepted)
        if is_accepted:
            self._schedule.record_accepted(order, now())
        else:
            self._schedule.record_refused(order, now())
        log.info(
            "engines ordered" if is_accepted else "engines unavailable",
            extra={
                "service": order.service,
                "data_centre": order.data_centre,
                "reclaimable": order.is_reclaimable,
                "count": order.count,
                "needed": demand.needed_engines,
                "busy": round(demand.busy, 2),
                "keeps_present": has_floors,
                "fencing_token": self._fencing_token,
            },
        )


def _engines_without_reserve(
    service: Service, endpoints: list[Endpoint], is_first_start: bool
) -> int:
    """Return how many engines of a service there would be without the reserve.

    Engines that are not reclaimable were provided by the operator if the site has just
    started for the first time; later they are what is left of a shortage. Without
    them, all engines count, less those ordered for the loss of a data centre. A service
    that has lost all of them needs one to begin with.
    """
    present = [e for e in endpoints if not e.is_reclaimed]
    operator_provided = sum(not e.listed.is_reclaimable for e in present)
    if is_first_start and operator_provided:
        return operator_provided
    data_centre_count = len(service.scaling.price_by_data_centre)
    remaining = len(present) * (data_centre_count - 1) // max(1, data_centre_count)
    return remaining if is_first_start else max(1, remaining)
