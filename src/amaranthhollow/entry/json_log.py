"""Writes log records as JSON lines, at a bounded rate and without blocking."""

from __future__ import annotations

import os
import sys
import time

import logbook
import msgspec

__all__ = ["JsonLinesHandler"]

# About four lines for each request to one host at the peak.
MAX_LINES_PER_SECOND = 400


class JsonLinesHandler(logbook.Handler):
    """Writes one JSON object a line to a descriptor, and counts dropped lines."""

    def __init__(self, descriptor: int | None = None) -> None:
        """Write to ``descriptor``, by default standard output."""
        super().__init__(level="INFO")
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._second = 0
        self._lines_in_second = 0
        self.dropped_lines = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop it if this second's limit of lines is reached."""
        instant = time.time()
        if int(instant) != self._second:
            self._second = int(instant)
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_SECOND:
            self.dropped_lines += 1
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
        if self.dropped_lines:
            fields["dropped_lines"] = self.dropped_lines
        self._write(msgspec.json.encode(fields, enc_hook=str) + b"\n")

    def _write(self, line: bytes) -> None:
        try:
            os.write(self._descriptor, line)
        except OSError:
            self.dropped_lines += 1
