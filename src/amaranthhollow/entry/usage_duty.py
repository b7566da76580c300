"""Reports each window's usage once, whoever holds the duties."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.decisions.usage import total_counts
from amaranthhollow.entry.duty_lease import HOLDER_KEY
from amaranthhollow.platform.cloud import DutyHolder, encode_usage
from amaranthhollow.platform.names import OWN_PREFIX
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.cloud import CloudClient

__all__ = ["UsageDuty"]

USAGE_KEY = f"{OWN_PREFIX}duties/usage"
TICK_SECONDS = 0.25
# The other hosts' last counts of a window arrive within a few exchanges.
SETTLE_SECONDS = 1.5
CALL_TIMEOUT_SECONDS = 0.8
REPORTS_KEPT = 8

log = logbook.Logger("usage")


class UsageDuty:
    """Stores the exact bytes of a report before it is sent.

    A new holder finds them and repeats them, so two reports never differ.
    """

    def __init__(self, host: Host, cloud: CloudClient) -> None:
        """Report on behalf of ``host``."""
        self._host = host
        self._cloud = cloud
        self._reports_by_window: dict[int, bytes] = {}
        self._revision = 0
        self._token = 0
        self._sent: set[int] = set()
        self._first_window = host.usage.window_at(time.time())

    async def run(self) -> None:
        """Report what is due, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            holding = self._host.duty.holding
            if holding is None or not self._may_act():
                continue
            if self._token != holding.fencing_token:
                await self._take_over(holding.fencing_token)
                continue
            for window in self._due_windows():
                await self._report(window, holding.fencing_token)

    def _may_act(self) -> bool:
        return self._host.duty.may_act(now(), CALL_TIMEOUT_SECONDS)

    def _due_windows(self) -> list[int]:
        """Return the windows that have settled, are not sent and not yet overdue."""
        usage, bounds = self._host.usage, self._host.settings.bounds
        wall = time.time()
        last = usage.window_at(wall - SETTLE_SECONDS) - 1
        overdue = usage.window_at(wall - bounds.usage_due) - 1
        first = max(overdue, self._first_window)
        return [w for w in range(first, last + 1) if w not in self._sent]

    async def _take_over(self, token: int) -> None:
        """Read what the holder before has stored."""
        found = await self._host.store.get(USAGE_KEY, CALL_TIMEOUT_SECONDS)
        if isinstance(found, Err):
            return
        item = found.ok_value
        self._reports_by_window, self._revision = {}, 0
        if item is not None:
            self._revision = item.revision
            try:
                self._reports_by_window = msgspec.msgpack.decode(
                    item.value, type=dict[int, bytes]
                )
            except msgspec.DecodeError as error:
                log.error("stored reports unreadable", extra={"error": str(error)})
        self._sent.clear()
        self._token = token

    async def _report(self, window: int, token: int) -> None:
        report = self._reports_by_window.get(window)
        if report is None:
            report = await self._store_report(window, token)
        if report is None or not self._may_act():
            return
        holder = DutyHolder(self._host.name, token)
        sent = await self._cloud.report_usage(report, holder, CALL_TIMEOUT_SECONDS)
        is_sent = not isinstance(sent, Err)
        self._host.metrics.cloud_calls.labels("usage", is_sent).inc()
        if is_sent:
            self._sent.add(window)
        log.info(
            "usage reported" if is_sent else "usage report failed",
            extra={"window": window, "fencing_token": token, "bytes": len(report)},
        )

    async def _store_report(self, window: int, token: int) -> bytes | None:
        host = self._host
        reports = [host.usage.report(), *host.usage_by_process.values()]
        report = encode_usage(window, total_counts(window, reports))
        kept = {**self._reports_by_window, window: report}
        kept = {w: kept[w] for w in sorted(kept)[-REPORTS_KEPT:]}
        write = Write(USAGE_KEY, msgspec.msgpack.encode(kept))
        stored = await host.store.change(
            {HOLDER_KEY: token, USAGE_KEY: self._revision},
            (write,),
            CALL_TIMEOUT_SECONDS,
        )
        if isinstance(stored, Err) or stored.ok_value is None:
            # Read again what is stored: a write whose answer was lost may be there.
            self._token = 0
            return None
        self._reports_by_window, self._revision = kept, stored.ok_value
        return report
