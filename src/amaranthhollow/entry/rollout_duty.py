"""Reads the orders of roll-outs, moves them on, and writes their status.

Every host reads the orders when a version appears that it has not seen. Only the holder
of the duties moves a roll-out on and writes, on condition that it is still the holder.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err, Ok

from amaranthhollow.decisions.gossip import Version
from amaranthhollow.decisions.order_dates import OrderDates
from amaranthhollow.decisions.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutView,
    Stage,
    advance,
    is_repeated_order,
)
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decoding import decode_msgpack
from amaranthhollow.entry.duty_lease import era_key, holder_key
from amaranthhollow.platform.names import SYSTEM_KEY_PREFIX
from amaranthhollow.platform.rollouts import (
    ORDER_PREFIX,
    STATUS_PREFIX,
    decode_order,
    encode_status,
)
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.entry.service_rollout import ServiceRollout
    from amaranthhollow.platform.store import Snapshot

__all__ = ["RolloutDuty"]

RECORD_PREFIX = f"{SYSTEM_KEY_PREFIX}rollouts/"
POLL_INTERVAL_SECONDS = 0.2
READ_INTERVAL_SECONDS = 0.5
# Of a host that does not hold the duties, while it needs what the store has.
OTHERS_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.8
# An order found by a process that has read nothing before may be older.
FIRST_READ_AGE_SECONDS = 0.5
# Operators write theirs to a restored store again within 2.2 s.
RESTORE_SECONDS = 4.0
# An order is missing from two reads, before it counts as withdrawn.
WITHDRAWN_READS = 2
# Of one reading; another writer may leave orders by the hundred.
MAX_ORDERS = 64

log = logbook.Logger("rollouts")


class RolloutDuty:
    """Runs the roll-outs of one site while this host holds the duties."""

    def __init__(self, host: Host) -> None:
        """Read, and write while it holds the duties, on behalf of ``host``."""
        self._host = host
        self._rollouts = host.rollouts
        self._next_read_at = 0.0
        self._last_read_at: float | None = None
        self._dates = OrderDates()
        self._position: StorePosition | None = None
        self._loaded_token = 0
        self._positions_by_key: dict[str, StorePosition] | None = None
        self._errors_by_key: dict[str, str] = {}
        self._missing_reads: dict[str, int] = {}
        self._written_by_service: dict[str, Version] = {}

    async def run(self) -> None:
        """Read and move roll-outs on until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            if not self._rollouts.is_enabled:
                continue
            self._rollouts.update()
            self._record_position()
            await self._read_if_due()
            token = self._held_token()
            if token and token == self._loaded_token:
                for found in list(self._rollouts.by_service.values()):
                    await self._move_on(found, token)

    def _record_position(self) -> None:
        """Record the position of the newest endpoint list, which every host has.

        It dates an order that was given while nobody held the duties.
        """
        site = self._host.site
        confirmed_at = site.endpoints_freshness.confirmed_at
        position = site.snapshot.position
        if confirmed_at is not None and position != self._position:
            # A peer's confirmation tells nothing of later positions.
            self._position = position
            self._dates.record(position, confirmed_at)

    def _held_token(self) -> int:
        """Return the fencing token of the duties, or 0 if this host has none."""
        held_lease = self._host.duty.held_lease
        return 0 if held_lease is None else held_lease.fencing_token

    async def _read_if_due(self) -> None:
        token = self._held_token()
        is_first = self._last_read_at is None
        needs_stages = self._rollouts.needs_stages
        if now() < self._next_read_at or not (
            token or is_first or self._rollouts.holds.needs_orders or needs_stages
        ):
            return
        requested_at = now()
        interval = READ_INTERVAL_SECONDS if token else OTHERS_INTERVAL_SECONDS
        self._next_read_at = requested_at + interval
        store = self._host.store
        orders = await store.list(ORDER_PREFIX, CALL_TIMEOUT_SECONDS)
        if isinstance(orders, Err):
            return
        needs_records = token != self._loaded_token or self._positions_by_key is None
        if needs_records or (needs_stages and not token):
            if not await self._load_records(token):
                return
            self._rollouts.stages_read(requested_at)
        elif token:
            # Nobody else stores a stage, which the next write would show.
            self._rollouts.stages_read(requested_at)
        self._apply_orders(orders.ok_value, requested_at, is_holder=bool(token))
        self._last_read_at = requested_at
        self._rollouts.orders_read(requested_at)

    async def _load_records(self, token: int) -> bool:
        """Read the stages and the status that earlier holders have stored."""
        store = self._host.store
        records = await store.list(RECORD_PREFIX, CALL_TIMEOUT_SECONDS)
        if isinstance(records, Err):
            return False
        statuses = await store.list(STATUS_PREFIX, CALL_TIMEOUT_SECONDS)
        if isinstance(statuses, Err):
            return False
        found: dict[str, Rollout] = {}
        for item in records.ok_value.items:
            match decode_msgpack(item.value, Rollout):
                case Ok(rollout):
                    known = found.get(rollout.service)
                    if known is None or known.version < rollout.version:
                        found[rollout.service] = rollout
                case Err(error):
                    self._report_unreadable(item.key, error)
        for rollout in found.values():
            self._rollouts.publish(rollout)
        items = (*records.ok_value.items, *statuses.ok_value.items)
        self._positions_by_key = {item.key: item.position for item in items}
        status_by_key = {i.key: i.value for i in statuses.ok_value.items}
        self._written_by_service = {
            service: rollout.version
            for service, rollout in found.items()
            if status_by_key.get(f"{STATUS_PREFIX}{service}")
            == encode_status(rollout.stage.state, rollout.target)
        }
        self._loaded_token = token
        return True

    def _apply_orders(
        self, snapshot: Snapshot, requested_at: float, *, is_holder: bool
    ) -> None:
        """Begin the roll-outs of new orders, and end those whose order is gone."""
        present = set()
        for item in snapshot.items[:MAX_ORDERS]:
            present.add(item.key.removeprefix(ORDER_PREFIX))
            match decode_order(item.key, item.value, item.position.fencing_token):
                case Ok(order):
                    self._errors_by_key.pop(item.key, None)
                    self._apply_order(order, is_holder=is_holder)
                case Err(error):
                    self._report_unreadable(item.key, error)
        restored_at = self._host.store_restored_at
        if not is_holder or (
            restored_at is not None and requested_at < restored_at + RESTORE_SECONDS
        ):
            return
        for service, found in self._rollouts.by_service.items():
            if service in present or found.rollout.stage.is_final:
                self._missing_reads.pop(service, None)
                continue
            self._missing_reads[service] = self._missing_reads.get(service, 0) + 1
            if self._missing_reads[service] >= WITHDRAWN_READS:
                rollout = found.rollout
                wall_time = self._host.wall_time()
                self._rollouts.publish(
                    rollout.at_stage(Stage.ROLLED_BACK, wall_time, "order withdrawn")
                )

    def _apply_order(self, order: RolloutOrder, *, is_holder: bool) -> None:
        found = self._rollouts.by_service.get(order.service)
        if found is not None and (
            found.rollout.token >= order.token
            or is_repeated_order(found.rollout, order)
        ):
            return
        position = StorePosition.from_fencing_token(order.token)
        dates = (self._last_read_at, self._dates.earliest(position))
        instant = now()
        known = [date for date in dates if date is not None]
        since = max(known, default=instant - FIRST_READ_AGE_SECONDS)
        age = max(0.0, instant - since)
        rollout = Rollout.of_order(order, self._host.wall_time() - age)
        if is_holder:
            self._rollouts.publish(rollout)
        else:
            self._rollouts.apply(rollout)

    def _report_unreadable(self, key: str, error: str) -> None:
        """Log and count an entry that cannot be read, once for each reason."""
        if self._errors_by_key.get(key) == error:
            return
        if len(self._errors_by_key) < MAX_ORDERS:
            self._errors_by_key[key] = error
        self._host.metrics.rollout_unreadable.increment()
        log.warning(
            "order of a rollout unreadable; the last good one stays in force",
            extra={"key": key[:200], "error": error},
        )

    async def _move_on(self, found: ServiceRollout, token: int) -> None:
        """Publish the next stage of a roll-out, and store what is not stored yet."""
        rollout = found.rollout
        instant = now()
        old_requests = self._old_requests(found)
        if old_requests or found.rollout.stage is not Stage.FULL:
            found.old_busy_at = instant
        view = RolloutView(
            found.evidence,
            old_requests,
            found.has_target,
            found.has_others,
            instant - found.old_busy_at,
            self._host.spread_seconds,
            self._host.host_counts.max_age_seconds,
        )
        moved = advance(rollout, view, self._host.wall_time())
        # What is completed can't be taken back, so it is stored first.
        if moved.stage is Stage.COMPLETED is not rollout.stage:
            if await self._store(moved, token):
                self._rollouts.publish(moved)
            return
        if moved is not rollout:
            self._rollouts.publish(moved)
        current = found.rollout
        written = self._written_by_service.get(current.service)
        # The old engines have been stopped: a host that did not know it may have rolled
        # back since.
        completed = Version(current.token, int(Stage.COMPLETED))
        if written not in (current.version, completed):
            await self._store(current, token)

    def _old_requests(self, found: ServiceRollout) -> int:
        """Return the requests that any host reports at engines of other versions."""
        host, rollout = self._host, found.rollout
        return sum(
            max(0, host.chooser.load(endpoint.host).requests)
            for endpoint in host.site.endpoints.all()
            if endpoint.listed.deployment == rollout.service
            and endpoint.is_listed
            and endpoint.listed.software_version != rollout.target
        )

    async def _store(self, rollout: Rollout, token: int) -> bool:
        """Store a stage and the status, provided that this host is still the holder."""
        may_call = self._host.duty.may_call(now(), CALL_TIMEOUT_SECONDS)
        if not may_call or self._positions_by_key is None:
            return False
        holder_position = StorePosition.from_fencing_token(token)
        era = holder_position.era
        record_key = era_key(f"{RECORD_PREFIX}{rollout.service}", era)
        status_key = f"{STATUS_PREFIX}{rollout.service}"
        positions = self._positions_by_key
        expected = {
            holder_key(era): holder_position,
            record_key: positions.get(record_key),
            status_key: positions.get(status_key),
        }
        writes = (
            Write(record_key, msgspec.msgpack.encode(rollout)),
            Write(status_key, encode_status(rollout.stage.state, rollout.target)),
        )
        stored = await self._host.store.change(expected, writes, CALL_TIMEOUT_SECONDS)
        if isinstance(stored, Err) or stored.ok_value is None:
            # The write may have succeeded although its response was lost, so the next
            # round reads what is stored again.
            self._positions_by_key = None
            self._next_read_at = now()
            return False
        positions[record_key] = positions[status_key] = stored.ok_value
        self._written_by_service[rollout.service] = rollout.version
        log.info(
            "rollout status written",
            extra={
                "service": rollout.service,
                "target": rollout.target,
                "state": rollout.stage.state,
                "stage": rollout.stage.name.lower(),
                "reason": rollout.reason,
                "fencing_token": token,
            },
        )
        return True
