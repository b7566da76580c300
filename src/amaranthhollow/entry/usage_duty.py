"""Reports each window's usage once, whoever holds the duties."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.decisions.usage import RETAINED_WINDOWS, CountsByWindow, sum_counts
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
# What all hosts count meanwhile is lost if all of them are lost at once.
SAVE_SECONDS = 1.0

log = logbook.Logger("usage")


class UsageLedger(msgspec.Struct, frozen=True, array_like=True):
    """What the holder keeps in the store, for the next one.

    ``reports`` are the exact bytes sent by window, ``counts`` what each process saw
    begin, by process, window and workspace.
    """

    reports: dict[int, bytes]
    counts: dict[str, CountsByWindow]


EMPTY_LEDGER = UsageLedger({}, {})


class UsageDuty:
    """Stores the exact bytes of a report before it is sent.

    A new holder finds them and repeats them, so two reports never differ. The counts
    of all hosts are stored with them every moment, for when all hosts are lost at once.
    """

    def __init__(self, host: Host, cloud: CloudClient) -> None:
        """Report on behalf of ``host``."""
        self._host = host
        self._cloud = cloud
        self._ledger = EMPTY_LEDGER
        self._revision = 0
        self._token = 0
        self._sent: set[int] = set()
        self._save_at = 0.0
        self._first_window = host.usage.window_at(host.wall_time())

    async def run(self) -> None:
        """Report what is due, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            holding = self._host.duty.held_lease
            if holding is None or not self._may_act():
                continue
            if self._token != holding.fencing_token:
                await self._take_over(holding.fencing_token)
                continue
            for window in self._due_windows():
                await self._report(window, holding.fencing_token)
            if now() >= self._save_at and self._token and self._may_act():
                await self._save(self._ledger.reports)

    def _may_act(self) -> bool:
        return self._host.duty.may_call(now(), CALL_TIMEOUT_SECONDS)

    def _due_windows(self) -> list[int]:
        """Return the windows that have settled, are not sent and not yet overdue."""
        usage, bounds = self._host.usage, self._host.settings.bounds
        wall = self._host.wall_time()
        last = usage.window_at(wall - SETTLE_SECONDS) - 1
        overdue = usage.window_at(wall - bounds.usage_due) - 1
        first = max(overdue, self._first_window)
        return [w for w in range(first, last + 1) if w not in self._sent]

    async def _take_over(self, token: int) -> None:
        """Read what the holder before has stored."""
        found = await self._host.store.get(USAGE_KEY, CALL_TIMEOUT_SECONDS)
        if isinstance(found, Err):
            return
        self._ledger, self._revision = EMPTY_LEDGER, 0
        if found.ok_value is not None:
            self._revision = found.ok_value.revision
            self._ledger = _decode_ledger(found.ok_value.value)
        self._learn_counts(self._ledger.counts)
        self._sent.clear()
        self._token = token

    def _learn_counts(self, counts: dict[str, CountsByWindow]) -> None:
        """Take in the counts of processes that were not heard of here."""
        host = self._host
        for process, report in counts.items():
            if process != host.process and process not in host.usage_by_process:
                host.usage_by_process[process] = report
        windows = [window for report in counts.values() for window in report]
        self._first_window = min([self._first_window, *windows])

    async def _report(self, window: int, token: int) -> None:
        report = self._ledger.reports.get(window)
        if report is None:
            total = sum_counts(window, self._counts().values())
            report = encode_usage(window, total)
            if not await self._save({**self._ledger.reports, window: report}):
                return
        if not self._may_act():
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

    def _counts(self) -> dict[str, CountsByWindow]:
        host = self._host
        return {**host.usage_by_process, host.process: host.usage.report()}

    async def _save(self, reports: dict[int, bytes]) -> bool:
        """Store reports and counts, under the condition that the duty is still held."""
        self._save_at = now() + SAVE_SECONDS
        reports = {w: reports[w] for w in sorted(reports)[-REPORTS_KEPT:]}
        oldest = self._host.usage.window_at(self._host.wall_time()) - RETAINED_WINDOWS
        counts = {
            process: kept
            for process, report in self._counts().items()
            if (kept := {w: c for w, c in report.items() if w > oldest})
        }
        for process in self._host.usage_by_process.keys() - counts.keys():
            del self._host.usage_by_process[process]
        ledger = UsageLedger(reports, counts)
        if ledger == self._ledger:
            return True
        write = Write(USAGE_KEY, msgspec.msgpack.encode(ledger))
        stored = await self._host.store.change(
            {HOLDER_KEY: self._token, USAGE_KEY: self._revision},
            (write,),
            CALL_TIMEOUT_SECONDS,
        )
        if isinstance(stored, Err) or stored.ok_value is None:
            # Read again what is stored: a write whose answer was lost may be there.
            self._token = 0
            return False
        self._ledger, self._revision = ledger, stored.ok_value
        return True


def _decode_ledger(value: bytes) -> UsageLedger:
    try:
        return msgspec.msgpack.decode(value, type=UsageLedger)
    except msgspec.DecodeError as error:
        log.error("stored usage unreadable", extra={"error": str(error)})
        return EMPTY_LEDGER
