"""Reports each window's usage to the cloud API while this host holds the duties."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err, Ok

from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decisions.usage import RETAINED_WINDOWS, CountsByWindow, sum_counts
from amaranthhollow.decisions.usage_ledger import (
    EMPTY_LEDGER,
    MAX_STORED_REPORTS,
    NOT_TO_BE_SENT,
    UsageLedger,
    restored_ledger,
)
from amaranthhollow.decoding import decode_msgpack
from amaranthhollow.entry.duty_lease import era_key, holder_key
from amaranthhollow.platform.cloud import DutyHolder, encode_usage_report
from amaranthhollow.platform.names import SYSTEM_KEY_PREFIX
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.platform.cloud import CloudClient

__all__ = ["UsageDuty"]

USAGE_KEY = f"{SYSTEM_KEY_PREFIX}duties/usage"
POLL_INTERVAL_SECONDS = 0.25
# The other hosts' last counts of a window arrive within their age and this margin,
# which allows for a lost datagram and for requests that are counted late.
WINDOW_CLOSE_MARGIN_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.8
# If all hosts fail at once, counts since the last save are lost.
SAVE_INTERVAL_SECONDS = 1.0
# Quota levels older than this and a save interval may lack what was spent without a
# holder of the duties.
MAX_REFILL_SECONDS = 3.0

log = logbook.Logger("usage")


class UsageDuty:
    """Reports usage, and stores the exact bytes of each report before sending it.

    A new holder sends the stored bytes again, so that two reports of a window never
    differ. The counts of all hosts are stored with them at short intervals, so that
    they survive a failure of all hosts at once.

    A store that returns from an older copy may have lost reports that were sent. The
    first holder in a new era stores those that it sent itself again. If it was not the
    holder when the store was restored, it does not report the windows that were closed
    by then and whose report it does not know.
    """

    def __init__(self, host: Host, cloud: CloudClient) -> None:
        """Report usage on behalf of ``host``."""
        self._host = host
        self._cloud = cloud
        self._ledger = EMPTY_LEDGER
        self._position: StorePosition | None = None
        self._fencing_token = 0
        self._has_begun = False
        self._sent_windows: set[int] = set()
        self._next_save_at = 0.0
        self._first_window = host.usage.window_at(host.wall_time())

    async def run(self) -> None:
        """Report windows that are due, until cancelled."""
        if not self._has_begun and not self._host.settings.is_first_start:
            await self._restore_levels()
        self._has_begun = True
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            held_lease = self._host.duty.held_lease
            if held_lease is None or not self._may_call():
                continue
            if self._fencing_token != held_lease.fencing_token:
                await self._load_ledger(held_lease.fencing_token)
                if self._fencing_token != held_lease.fencing_token:
                    continue
            for window in self._due_windows():
                await self._report_window(window, held_lease.fencing_token)
            if now() >= self._next_save_at and self._fencing_token and self._may_call():
                await self._save(self._ledger.reports)

    async def _restore_levels(self) -> None:
        """After a restart, take over the stored levels of the quotas and demands."""
        host = self._host
        era = host.store.era
        found = await host.store.get(era_key(USAGE_KEY, era), CALL_TIMEOUT_SECONDS)
        if isinstance(found, Err) or found.ok_value is None:
            return
        ledger = _decode_ledger(found.ok_value.value) or EMPTY_LEDGER
        age = host.wall_time() - ledger.levels_at
        refill_seconds = min(max(0.0, age - SAVE_INTERVAL_SECONDS), MAX_REFILL_SECONDS)
        host.quotas.adopt_levels(
            ledger.quota_levels, now() - refill_seconds, is_current=False
        )
        host.expect_hosts(ledger.hosts)
        for service, state in ledger.scaling.items():
            host.adopt_scaling_state(service, state)
        log.info(
            "quota levels restored",
            extra={
                "age": round(age, 2),
                "hosts": ledger.hosts,
                "lowest": min(ledger.quota_levels.values(), default=None),
            },
        )

    def _may_call(self) -> bool:
        return self._host.duty.may_call(now(), CALL_TIMEOUT_SECONDS)

    def _due_windows(self) -> list[int]:
        """Return the windows that are closed, not yet sent and not overdue."""
        usage, bounds = self._host.usage, self._host.settings.bounds
        wall = self._host.wall_time()
        last_closed_window = self._last_closed_window(wall)
        last_overdue_window = usage.window_at(wall - bounds.usage_due) - 1
        first = max(
            last_overdue_window, self._first_window, self._ledger.reportable_since
        )
        return [
            w
            for w in range(first, last_closed_window + 1)
            if w not in self._sent_windows
        ]

    def _last_closed_window(self, wall_time: float) -> int:
        """Return the last window whose counts were complete at ``wall_time``."""
        host = self._host
        delay = WINDOW_CLOSE_MARGIN_SECONDS + host.host_counts.max_age_seconds
        closed_until = wall_time - delay
        return host.usage.window_at(closed_until) - 1

    async def _load_ledger(self, fencing_token: int) -> None:
        """Read the ledger that the previous holder stored."""
        store = self._host.store
        era = StorePosition.from_fencing_token(fencing_token).era
        found = await store.get(era_key(USAGE_KEY, era), CALL_TIMEOUT_SECONDS)
        if isinstance(found, Err):
            return
        if found.ok_value is not None:
            self._position = found.ok_value.position
            ledger = _decode_ledger(found.ok_value.value)
            if ledger is None:
                closed = self._windows_closed_by(now())
                ledger = restored_ledger((self._ledger,), closed)
            self._ledger = ledger
        elif era == 0:
            self._ledger, self._position = EMPTY_LEDGER, None
        else:
            listed = await store.list(USAGE_KEY, CALL_TIMEOUT_SECONDS)
            if isinstance(listed, Err):
                return
            values = [item.value for item in listed.ok_value.items]
            self._ledger, self._position = self._restored_ledger(values), None
        self._merge_stored_counts(self._ledger.counts)
        self._sent_windows.clear()
        self._fencing_token = fencing_token

    def _restored_ledger(self, values: list[bytes]) -> UsageLedger:
        """Return the first ledger of a new era, from the stored ones of earlier eras.

        No host has reported another window since the store was restored. The last
        ledger of this host is complete if it held the duties at that time.
        """
        token_at_restore = self._host.duty.token_at_restore
        is_complete = token_at_restore and token_at_restore == self._fencing_token
        restored_at = self._host.store_restored_at or now()
        unknown = () if is_complete else self._windows_closed_by(restored_at)
        stored = filter(None, map(_decode_ledger, values))
        ledger = restored_ledger((*stored, self._ledger), unknown)
        not_sent = sorted(w for w, r in ledger.reports.items() if r == NOT_TO_BE_SENT)
        log.info(
            "usage ledger set up in a restored store",
            extra={"windows": sorted(ledger.reports), "not_sent": not_sent},
        )
        return ledger

    def _windows_closed_by(self, instant: float) -> range:
        """Return the windows that another host may have reported by then."""
        wall_time = self._host.wall_time() - (now() - instant)
        last = self._last_closed_window(wall_time)
        return range(last - RETAINED_WINDOWS, last + 1)

    def _merge_stored_counts(self, counts: dict[str, CountsByWindow]) -> None:
        """Add the counts of processes that have sent no report to this host."""
        host = self._host
        for process, report in counts.items():
            if process != host.process_id and process not in host.usage_by_process:
                host.usage_by_process[process] = report
        windows = [window for report in counts.values() for window in report]
        self._first_window = min([self._first_window, *windows])

    async def _report_window(self, window: int, fencing_token: int) -> None:
        report = self._ledger.reports.get(window)
        if report == NOT_TO_BE_SENT:
            self._sent_windows.add(window)
            log.warning("usage not reported", extra={"window": window})
            return
        if report is None:
            total = sum_counts(window, self._all_counts().values())
            report = encode_usage_report(window, total)
            if not await self._save({**self._ledger.reports, window: report}):
                return
        if not self._may_call():
            return
        holder = DutyHolder(self._host.name, fencing_token)
        sent = await self._cloud.report_usage(report, holder, CALL_TIMEOUT_SECONDS)
        is_sent = not isinstance(sent, Err)
        self._host.metrics.cloud_calls.increment("usage", is_sent)
        if is_sent:
            self._sent_windows.add(window)
        log.info(
            "usage reported" if is_sent else "usage report failed",
            extra={
                "window": window,
                "fencing_token": fencing_token,
                "bytes": len(report),
            },
        )

    def _all_counts(self) -> dict[str, CountsByWindow]:
        host = self._host
        return {**host.usage_by_process, host.process_id: host.usage.report()}

    async def _save(self, reports: dict[int, bytes]) -> bool:
        """Store reports and counts, provided that this host still holds the duties."""
        self._next_save_at = now() + SAVE_INTERVAL_SECONDS
        reports = {w: reports[w] for w in sorted(reports)[-MAX_STORED_REPORTS:]}
        oldest = self._host.usage.window_at(self._host.wall_time()) - RETAINED_WINDOWS
        counts = {
            process: recent_counts
            for process, report in self._all_counts().items()
            if (recent_counts := {w: c for w, c in report.items() if w > oldest})
        }
        for process in self._host.usage_by_process.keys() - counts.keys():
            del self._host.usage_by_process[process]
        levels = self._host.quotas.levels(now()) or {}
        host = self._host
        hosts = host.host_counts.total
        ledger = UsageLedger(
            reports, counts, levels, host.wall_time(), hosts, host.scaling_by_service
        )
        if ledger.has_same_usage(self._ledger) and self._position is not None:
            return True
        holder_position = StorePosition.from_fencing_token(self._fencing_token)
        key = era_key(USAGE_KEY, holder_position.era)
        stored = await self._host.store.change(
            {holder_key(holder_position.era): holder_position, key: self._position},
            (Write(key, msgspec.msgpack.encode(ledger)),),
            CALL_TIMEOUT_SECONDS,
        )
        if isinstance(stored, Err) or stored.ok_value is None:
            # The write may have succeeded although its response was lost, so the next
            # round reads the stored ledger again.
            self._fencing_token = 0
            return False
        self._ledger, self._position = ledger, stored.ok_value
        return True


def _decode_ledger(value: bytes) -> UsageLedger | None:
    match decode_msgpack(value, UsageLedger):
        case Ok(ledger):
            return ledger
        case Err(error):
            log.error("stored usage unreadable", extra={"error": error})
            return None
