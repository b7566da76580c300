"""Reports of usage, quotas and load: this host's own, and those of its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.reports import (
    REPORT_RETENTION_SECONDS,
    HostReport,
    ReportChanges,
    ReportTable,
    process_key,
)
from amaranthhollow.decisions.usage import merge_counts
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.reports import ExchangePace
    from amaranthhollow.entry.contacts import Contacts
    from amaranthhollow.entry.host import Host
    from amaranthhollow.peers.datagrams import Ping, ReportEcho, ReportPing

__all__ = ["ReportExchange"]

# Earlier windows no longer change, and were sent to the peers many times.
REPORTED_USAGE_WINDOWS = 2
# Hosts that start together hear of each other within a few seconds.
RECENT_START_SECONDS = 5.0


class ReportExchange:
    """Composes the reports that one host sends, and applies those that it receives.

    Hosts of this version relay changes of all hosts' reports. Those of earlier versions
    send their whole report to each other host.
    """

    def __init__(self, host: Host, contacts: Contacts) -> None:
        """Report on behalf of ``host``, and record who is seen in ``contacts``."""
        self._host = host
        self._contacts = contacts
        self._reports = ReportTable(host.name, host.incarnation)
        self._whole_report_at_by_process: dict[str, float] = {}

    def build_report(self) -> HostReport:
        """Return the whole report of this host, without statements of endpoints."""
        host = self._host
        usage = host.usage.report(REPORTED_USAGE_WINDOWS)
        return HostReport(
            usage,
            host.quotas.spent(),
            host.chooser.local_loads(),
            host.can_relay,
            host.can_read,
        )

    def digest(self) -> dict[int, int]:
        """Return the versions of the reports that this host has, by process key."""
        return self._reports.digest()

    def correct_version(self, ping: Ping) -> None:
        """Correct the version of the sender's report, which it states in its digest."""
        name, incarnation = ping.host, ping.incarnation
        version = ping.digest.get(process_key(name, incarnation), 0)
        self._reports.correct_version(name, incarnation, version)

    def changes_for(self, ping: Ping, pace: ExchangePace) -> tuple[ReportChanges, ...]:
        """Return what the sender of a ping lacks, this host's own report included."""
        instant = now()
        if self._reports.is_publish_due(instant):
            statements = self._host.chooser.stated_loads.changes(
                instant, pace.max_statements
            )
            report = msgspec.structs.replace(self.build_report(), statements=statements)
            self._reports.publish(report, instant, pace.publish_interval)
        return self._reports.changes_for(ping.digest, instant)

    def merge(self, changes: Iterable[ReportChanges]) -> None:
        """Apply the changes of reports that a peer has sent, unless they are known."""
        for new_changes in self._reports.merge(changes, now()):
            self._apply_changes(new_changes)

    def apply_whole(self, message: ReportPing | ReportEcho) -> None:
        """Apply the whole report of a host, which is not relayed to others."""
        name, incarnation = message.host, message.incarnation
        report = message.report
        self._whole_report_at_by_process[f"{name}@{incarnation}"] = now()
        self._apply_changes(
            ReportChanges(
                name,
                incarnation,
                0,
                0,
                0,
                report.usage,
                report.spent,
                report.loads,
                report.can_relay,
                report.can_read,
                report.statements,
            )
        )

    def forget_ended(self, instant: float) -> None:
        """Drop the reports of processes that were not heard of for long."""
        host = self._host
        retained_since = instant - REPORT_RETENTION_SECONDS
        whole_reports = list(self._whole_report_at_by_process.items())
        ended = [process for process, at in whole_reports if at <= retained_since]
        for process in ended:
            del self._whole_report_at_by_process[process]
        for process in [*ended, *self._reports.expire(instant)]:
            self._contacts.forget_process(process)
            host.quotas.forget(process)
            host.usage_by_process.pop(process, None)

    def _apply_changes(self, changes: ReportChanges) -> None:
        """Apply what has changed in the report of a process."""
        host = self._host
        name, incarnation = changes.host, changes.incarnation
        instant = now()
        if self._contacts.record(name, incarnation, changes.seen_at(instant), instant):
            host.can_relay_by_peer[name] = changes.can_relay
            host.can_read_by_peer[name] = changes.can_read
            if changes.loads is not None:
                host.chooser.observe(name, changes.loads)
        host.chooser.merge_statements(changes.statements, instant)
        process = changes.process_id
        running_seconds = host.wall_time() - incarnation / 1000
        is_recent = abs(running_seconds) < RECENT_START_SECONDS
        host.quotas.observe(process, changes.spent, instant, is_recent=is_recent)
        previous = host.usage_by_process.get(process, {})
        host.usage_by_process[process] = merge_counts(previous, changes.usage)
