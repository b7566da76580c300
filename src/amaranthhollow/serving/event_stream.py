"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

__all__ = ["EventSplitter"]

# Several times the largest event, since an endpoint's events hold a few tokens each.
MAX_EVENT_BYTES = 262_144
EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Returns complete events and keeps the identifier of the last one.

    Example: after ``splitter.feed(b"id: 7\\ndata: x\\n\\nid: 8")`` returned the
    first event, ``splitter.last_event_id`` is ``"7"``.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        """Resume a stream after the event ``last_event_id``."""
        self.last_event_id = last_event_id
        self._partial_event = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether the data ends within an event."""
        return bool(self._partial_event)

    @property
    def is_event_too_long(self) -> bool:
        """Whether the event in which the data ends exceeds the size limit."""
        return len(self._partial_event) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, unchanged."""
        self._partial_event += data
        ends = [
            at + len(separator)
            for separator in EVENT_SEPARATORS
            if (at := self._partial_event.rfind(separator)) >= 0
        ]
        if not ends:
            return b""
        end = max(ends)
        complete, self._partial_event = (
            self._partial_event[:end],
            self._partial_event[end:],
        )
        self._update_last_event_id(complete)
        return complete

    def _update_last_event_id(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(ID_FIELD):
                value = line[len(ID_FIELD) :].strip()
                self.last_event_id = value.decode("latin-1")
                return
