"""Splits a stream of server-sent events into events, and checks their order."""

from __future__ import annotations

import re

__all__ = ["EventNumbering", "EventSplitter"]

# Several times the largest event, since an endpoint's events hold a few tokens each.
MAX_EVENT_BYTES = 262_144
EVENT_SEPARATORS = (b"\n\n", b"\r\n\r\n")
# A pattern of lookbehinds took 30 ns a byte, and 300 large streams the whole loop.
EVENT_ENDS = re.compile(rb"\n\n|\r\n\r\n")
# A field name with its value or alone, or a comment; the first may follow a byte order
# mark (HTML standard, section 9.2.5).
FIELD = re.compile(rb"(?:\xef\xbb\xbf)?[\w-]*(?::|$)")
ID_FIELD = b"id:"
MAX_DIGITS = 18
# Of the steps between events; a faulty endpoint leaves an event out less often.
MAX_CONSECUTIVE_GAP_RATIO = 0.02


class EventNumbering:
    """Whether the identifiers of a service's events are consecutive numbers.

    They are assumed to be until endpoints have left numbers out regularly. Example::

        numbering = EventNumbering()
        numbering.record_step(4, 8)
        numbering.may_follow(8, 12)  # True
    """

    def __init__(self) -> None:
        """Start without events."""
        self._steps = 0
        self._gaps = 0

    def record_step(self, previous: int, number: int) -> None:
        """Record two events that one endpoint has sent one after the other."""
        self._steps += 1
        self._gaps += number != previous + 1

    def may_follow(self, previous: int, number: int) -> bool:
        """Return whether no event is missing between two of different endpoints."""
        leaves_numbers_out = self._gaps > MAX_CONSECUTIVE_GAP_RATIO * self._steps
        return number > previous if leaves_numbers_out else number == previous + 1


class EventSplitter:
    """Returns complete events and keeps the identifier of the last one.

    The first event of a resumed stream has to be the one after ``last_event_id``, and
    later ones may not go back. ``fault`` says why an event does not belong to the
    stream; neither it nor what comes after it is returned. ``event_count`` is how many
    events were returned.

    Example: after ``splitter.feed(b"id: 7\\ndata: x\\n\\nid: 8")`` returned the
    first event, ``splitter.last_event_id`` is ``"7"``.
    """

    def __init__(
        self, last_event_id: str | None = None, numbering: EventNumbering | None = None
    ) -> None:
        """Resume a stream after the event ``last_event_id``."""
        self.last_event_id = last_event_id
        self.fault: str | None = None
        self.event_count = 0
        self._numbering = numbering or EventNumbering()
        self._is_joined = last_event_id is not None
        self._partial_event = b""

    @property
    def has_event(self) -> bool:
        """Whether any event was returned."""
        return self.event_count > 0

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
        if self.fault is not None:
            return b""
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
        accepted = 0
        for match in EVENT_ENDS.finditer(complete):
            self.fault = self._accept(complete[accepted : match.end()])
            if self.fault is not None:
                return complete[:accepted]
            accepted = match.end()
        # What is left is empty lines.
        return complete

    def _accept(self, event: bytes) -> str | None:
        """Record an event, or return why it does not belong to the stream."""
        event_id: str | None = None
        has_fields = False
        for line in filter(None, event.splitlines()):
            if not FIELD.match(line):
                return "sent text that is no event"
            has_fields = has_fields or not line.startswith(b":")
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
        if not has_fields:
            return None
        if event_id is None and self._is_joined:
            return "resumed with an event without identifier"
        fault = None if event_id is None else self._check_order(event_id)
        if fault is None:
            self.event_count += 1
            self._is_joined = False
            self.last_event_id = event_id or self.last_event_id
        return fault

    def _check_order(self, event_id: str) -> str | None:
        """Return why an event cannot come after the last one, or None."""
        if self.last_event_id is None:
            return None
        previous, number = _number(self.last_event_id), _number(event_id)
        if previous is None:
            is_next = event_id != self.last_event_id
        elif number is None:
            is_next = False
        elif self._is_joined:
            is_next = self._numbering.may_follow(previous, number)
        else:
            is_next = number > previous
            self._numbering.record_step(previous, number)
        return None if is_next else f"sent event {event_id} after {self.last_event_id}"


def _number(event_id: str) -> int | None:
    """Return the number that an identifier is, or None."""
    is_number = event_id.isascii() and event_id.isdigit()
    return int(event_id) if is_number and len(event_id) <= MAX_DIGITS else None
