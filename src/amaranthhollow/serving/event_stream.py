"""Cuts a stream of server-sent events into whole events."""

from __future__ import annotations

__all__ = ["EventSplitter"]

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


class EventSplitter:
    """Returns whole events and remembers the identifier of the last one.

    Example: after ``splitter.feed(b"id: 7\\ndata: x\\n\\nid: 8")`` returned the
    first event, ``splitter.last_event_id`` is ``"7"``.
    """

    def __init__(self, last_event_id: str | None = None) -> None:
        """Start after the event ``last_event_id``."""
        self.last_event_id = last_event_id
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Tell whether a part of an event is left."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, as they came."""
        self._rest += data
        ends = [
            at + len(mark) for mark in EVENT_ENDS if (at := self._rest.rfind(mark)) >= 0
        ]
        if not ends:
            return b""
        end = max(ends)
        whole, self._rest = self._rest[:end], self._rest[end:]
        self._note_identifier(whole)
        return whole

    def _note_identifier(self, events: bytes) -> None:
        for line in reversed(events.splitlines()):
            if line.startswith(ID_FIELD):
                value = line[len(ID_FIELD) :].strip()
                self.last_event_id = value.decode("latin-1")
                return
