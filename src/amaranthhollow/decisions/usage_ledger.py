"""The usage reports and counts that the holder of the duties keeps for its successor.

A report is stored before it is sent, so a window never gets two different reports. A
store that returns from an older copy may have lost reports that were sent; a window
whose report may be among them is not reported.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.scaling_state import ScalingState
from amaranthhollow.decisions.usage import CountsByWindow
from amaranthhollow.decoding import Amount, Label, Number

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "EMPTY_LEDGER",
    "MAX_STORED_REPORTS",
    "NOT_TO_BE_SENT",
    "UsageLedger",
    "restored_ledger",
]

# Reports of the latest windows; those of earlier ones are dropped.
MAX_STORED_REPORTS = 8
# In place of a report that may have been sent with content that no host knows.
NOT_TO_BE_SENT = b""


class UsageLedger(msgspec.Struct, frozen=True, array_like=True):
    """Reports and counts, as the holder of the duties stores them.

    ``reports`` are the exact bytes sent by window, or ``NOT_TO_BE_SENT``; ``counts``
    the requests that each process started, by process, window and workspace.
    ``quota_levels`` are the levels of the workspaces' quotas at the wall time
    ``levels_at``, in seconds since the Unix epoch, when ``hosts`` shared the quotas.
    ``scaling`` is the demand of each service, with the orders of engines for it.
    """

    reports: dict[Number, bytes]
    counts: dict[str, CountsByWindow]
    quota_levels: dict[Label, Amount] = {}
    levels_at: Amount = 0.0
    hosts: Number = 0
    scaling: dict[Label, ScalingState] = {}

    @property
    def reportable_since(self) -> int:
        """The first window that was certainly not reported unless its report is here.

        Windows that are numbered by a clock that is behind may be earlier.
        """
        is_full = len(self.reports) >= MAX_STORED_REPORTS
        return min(self.reports) if is_full else 0

    def has_same_usage(self, other: UsageLedger) -> bool:
        """Return whether both have the same reports and counts."""
        return self.reports == other.reports and self.counts == other.counts


EMPTY_LEDGER = UsageLedger({}, {})


def restored_ledger(
    ledgers: Iterable[UsageLedger], unknown_windows: Iterable[int]
) -> UsageLedger:
    """Return the first ledger of a new era, from those of earlier eras.

    ``unknown_windows`` may have been reported by another host. They are not reported
    unless a ledger has their report, and neither are windows of which two ledgers have
    different reports.
    """
    reports: dict[int, bytes] = {}
    counts: dict[str, CountsByWindow] = {}
    for ledger in ledgers:
        for window, report in ledger.reports.items():
            if reports.setdefault(window, report) != report:
                reports[window] = NOT_TO_BE_SENT
        counts |= ledger.counts
    unknown = dict.fromkeys(unknown_windows, NOT_TO_BE_SENT)
    return UsageLedger(unknown | reports, counts)
