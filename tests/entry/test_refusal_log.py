"""Lines on what a host refuses in the time after its start."""

from __future__ import annotations

import logbook

from amaranthhollow.entry.refusal_log import LOGGED_SECONDS, RefusalLog

STARTED_AT = 100.0


def lines_of(handler):
    return [record.extra for record in handler.records]


def test_one_line_a_second_names_the_reasons():
    refusals = RefusalLog(STARTED_AT)
    with logbook.TestHandler() as handler:
        for number in range(5):
            refusals.record_refused("over quota", STARTED_AT + number / 10)
        refusals.record_refused("503, no endpoint", STARTED_AT + 0.7)
        refusals.record_answered(STARTED_AT + 0.8)
        refusals.flush(STARTED_AT + 1.0)
        refusals.flush(STARTED_AT + 2.5)

    assert lines_of(handler) == [
        {
            "second": 0,
            "answered": 1,
            "by_reason": {"over quota": 5, "503, no endpoint": 1},
        }
    ]


def test_nothing_is_logged_later():
    refusals = RefusalLog(STARTED_AT)
    with logbook.TestHandler() as handler:
        refusals.record_refused("over quota", STARTED_AT + LOGGED_SECONDS)
        refusals.flush(STARTED_AT + LOGGED_SECONDS + 2.0)

    assert not handler.records
