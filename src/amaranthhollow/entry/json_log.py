"""Writes log records as JSON lines, bounded in volume, without ever blocking."""

from __future__ import annotations

import os
import sys
import time

import logbook
import msgspec

__all__ = ["JsonLinesHandler"]

# About four lines for each request that one host of today's sites gets at the peak.
MAX_LINES_PER_SECOND = 400


class JsonLinesHandler(logbook.Handler):
    """Writes one object a record to a descriptor; what does not fit is counted."""

    def __init__(self, descriptor: int | None = None) -> None:
        """Write to ``descriptor``, by default standard output."""
        super().__init__(level="INFO")
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._second = 0
        self._lines_in_second = 0
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, unless this second's lines are used up."""
        instant = time.time()
        if int(instant) != self._second:
            self._second = int(instant)
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        fields = {
            "at": round(instant, 3),
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
            **record.extra,
        }
        if record.exc_info:
            fields["exception"] = record.formatted_exception
        if self.dropped:
            fields["dropped_lines"] = self.dropped
        self._write(msgspec.json.encode(fields, enc_hook=str) + b"\n")

    def _write(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped += 1
