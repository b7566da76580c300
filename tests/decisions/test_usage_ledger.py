"""The first ledger of usage after the store has returned from an older copy."""

from __future__ import annotations

from amaranthhollow.decisions.usage_ledger import (
    EMPTY_LEDGER,
    MAX_STORED_REPORTS,
    NOT_TO_BE_SENT,
    UsageLedger,
    restored_ledger,
)


# After a step of the clocks, windows were reported again whose report was dropped.
def test_windows_before_a_full_ledger_are_not_reported_again():
    reports = {window: b"sent" for window in range(20, 20 + MAX_STORED_REPORTS)}

    assert UsageLedger(reports, {}).reportable_since == 20
    assert UsageLedger({20: b"sent"}, {}).reportable_since == 0


def test_known_reports_are_kept_and_unknown_windows_marked():
    ledger = restored_ledger([UsageLedger({5: b"five"}, {})], range(4, 7))

    assert ledger.reports == {4: NOT_TO_BE_SENT, 5: b"five", 6: NOT_TO_BE_SENT}


def test_marks_of_an_earlier_restore_are_kept():
    marked = UsageLedger({5: NOT_TO_BE_SENT}, {})

    assert restored_ledger([EMPTY_LEDGER, marked], ()).reports == marked.reports


def test_window_with_different_reports_is_not_reported():
    """One of them was stored by a write that took effect after the restore."""
    ledgers = [UsageLedger({5: b"late"}, {}), UsageLedger({5: b"sent"}, {})]

    assert restored_ledger(ledgers, ()).reports == {5: NOT_TO_BE_SENT}


def test_counts_of_all_ledgers_are_kept():
    ledgers = [
        UsageLedger({}, {"a@1": {5: {"w1": 2}}}),
        UsageLedger({}, {"b@1": {5: {"w1": 3}}}),
    ]

    assert set(restored_ledger(ledgers, ()).counts) == {"a@1", "b@1"}
