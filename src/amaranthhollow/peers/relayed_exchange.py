"""Follows the requests and responses that pass through a relayed connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from amaranthhollow.serving.messages import Header, ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RelayedExchange"]

FIRST_FINAL_STATUS = 200
# Four times the largest head of a request.
MAX_HEAD_BYTES = 65_536


class RelayedExchange:
    """Tells when a request begins, and reports the heads of the responses.

    A peer sends one request at a time, so the first bytes after a complete response are
    those of the next request. Responses that cannot be parsed are the peer's to judge;
    nothing more is read of that connection.
    """

    def __init__(self, notify_response_head: Callable[[ResponseHead], None]) -> None:
        """Start before the first request."""
        self._notify_response_head = notify_response_head
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._is_reading_head = False
        self._is_readable = True
        self.is_between_requests = True

    def record_request(self) -> None:
        """Record that bytes of a request were passed on."""
        self.is_between_requests = False

    def feed(self, data: bytes) -> None:
        """Read bytes of the endpoint."""
        if not self._is_readable:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._stop_reading()
        if self._is_reading_head:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                self._stop_reading()

    def _stop_reading(self) -> None:
        self._is_readable = False
        self._headers = []
        self.is_between_requests = False

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers = []
        self._head_bytes = 0
        self._is_reading_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Report the head of a final response."""
        self._is_reading_head = False
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._notify_response_head(ResponseHead(status, tuple(self._headers)))

    def on_message_complete(self) -> None:
        """Expect the next request after a final response."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.is_between_requests = True
