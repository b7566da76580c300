"""Warnings of messages that cannot be read, and of sites that stay mixed."""

from __future__ import annotations

from hypothesis import given, strategies as st

from amaranthhollow.decisions.peer_warnings import (
    MAX_SOURCES,
    MIXED_INTERVAL_SECONDS,
    UNREADABLE_INTERVAL_SECONDS,
    MixedVersions,
    UnreadableMessages,
)

STEPS = st.lists(st.floats(0.0, 30.0), max_size=200)
FORMS = st.lists(st.sampled_from(["a", "b"]), min_size=200, max_size=200)


@given(STEPS, FORMS)
def test_each_form_is_warned_of_once_an_interval(steps, forms):
    messages, now = UnreadableMessages(), 0.0
    warned_at, unreported = {}, {}
    for step, form in zip(steps, forms, strict=False):
        now += step
        unreported[form] = unreported.get(form, 0) + 1
        count = messages.record("10.0.0.9", form, now)
        if count:
            last = warned_at.get(form, -UNREADABLE_INTERVAL_SECONDS)
            assert now >= last + UNREADABLE_INTERVAL_SECONDS
            assert count == unreported.pop(form)
            warned_at[form] = now


def test_warnings_of_many_addresses_are_bounded():
    messages = UnreadableMessages()
    counts = [
        messages.record(f"10.0.{n // 256}.{n % 256}", "a", n / 1000)
        for n in range(20 * MAX_SOURCES)
    ]

    assert sum(map(bool, counts)) == MAX_SOURCES + 1


def test_site_that_stays_mixed_is_warned_of_once_an_interval():
    mixed = MixedVersions()
    due = [mixed.record(3, float(second)) for second in range(2_000)]

    assert [seconds for seconds in due if seconds] == [
        MIXED_INTERVAL_SECONDS,
        2 * MIXED_INTERVAL_SECONDS,
    ]


def test_end_of_an_upgrade_ends_the_count():
    mixed = MixedVersions()
    mixed.record(3, 0.0)
    mixed.record(0, 800.0)

    assert mixed.record(1, 1_000.0) is None
    assert mixed.record(1, 1_000.0 + MIXED_INTERVAL_SECONDS) == MIXED_INTERVAL_SECONDS
