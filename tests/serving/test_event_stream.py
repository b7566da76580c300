"""Event streams that are interrupted at any byte, and resumed."""

from __future__ import annotations

from hypothesis import given, settings, strategies as st

from amaranthhollow.serving.event_stream import EventSplitter
from tests.standins.scripted_endpoint import sse_event

EVENT_COUNT = 12


def encoded_events(first: int) -> bytes:
    """Return the encoded events from ``first`` to the last one."""
    return b"".join(sse_event(number) for number in range(first, EVENT_COUNT + 1))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    cuts=st.lists(st.integers(0, len(encoded_events(1))), max_size=6),
    pieces=st.integers(1, 40),
)
def test_resumed_stream_has_each_event_once_and_in_order(cuts, pieces):
    """Each endpoint resumes after the last complete event of the one before it."""
    received, last_event_id = b"", None
    for cut in [*cuts, None]:
        splitter = EventSplitter(last_event_id)
        rest = encoded_events(int(last_event_id or 0) + 1)[:cut]
        for start in range(0, len(rest), pieces):
            received += splitter.feed(rest[start : start + pieces])
        last_event_id = splitter.last_event_id

    assert received == encoded_events(1)
