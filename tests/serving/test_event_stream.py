"""Streams of events that are cut anywhere, any number of times, and go on."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from amaranthhollow.serving.event_stream import EventSplitter
from tests.standins.wire_endpoint import event

EVENTS = 12


def whole(first: int) -> bytes:
    """Return the events from ``first`` to the last one."""
    return b"".join(event(number) for number in range(first, EVENTS + 1))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    cuts=st.lists(st.integers(0, len(whole(1))), max_size=6),
    pieces=st.integers(1, 40),
)
def test_what_a_caller_gets_is_whole_and_in_order(cuts, pieces):
    """Each engine goes on after the last whole event that the one before it sent."""
    received, last_event_id = b"", None
    for cut in [*cuts, None]:
        splitter = EventSplitter(last_event_id)
        rest = whole(int(last_event_id or 0) + 1)[:cut]
        for start in range(0, len(rest), pieces):
            received += splitter.feed(rest[start : start + pieces])
        last_event_id = splitter.last_event_id

    assert received == whole(1)
