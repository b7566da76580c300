"""Follows the requests and responses that pass through a relayed connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httptools

from amaranthhollow.serving.messages import Header, ResponseHead

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["RelayedExchange"]

FINAL_STATUS_CODES = range(200, 600)
# Four times the largest head of a request; also bounds trailers, and what else is not
# part of a body.
MAX_HEAD_BYTES = 65_536


class RelayedExchange:
    """Tells when a request begins, and reports the heads of the responses.

    A peer sends one request at a time, so the first bytes after a complete request and
    its complete response are those of the next request. ``find_identifier`` returns
    the identifier among the headers of a request, which its response repeats: other
    responses belong to earlier requests and are not reported. Messages that cannot be
    parsed are the peer's to judge; nothing more is read of that connection.
    """

    def __init__(
        self,
        notify_response_head: Callable[[ResponseHead], None],
        find_identifier: Callable[[tuple[Header, ...]], bytes | None],
    ) -> None:
        """Start before the first request."""
        self._notify_response_head = notify_response_head
        self._find_identifier = find_identifier
        self._request = _MessageReader(httptools.HttpRequestParser)
        self._response = _MessageReader(httptools.HttpResponseParser)
        self._response.on_head = self._read_response_head
        self._response.on_end = self._end_response
        self._request.on_head = self._read_request_head
        self._request_count = 0
        self._has_response = True
        self._is_response_expected = False
        self.identifier: bytes | None = None

    @property
    def has_response(self) -> bool:
        """Whether the response to the last request is complete by its own framing."""
        return self._has_response

    @property
    def is_between_requests(self) -> bool:
        """Whether the next bytes of the peer begin a request."""
        is_readable = self._request.is_readable and self._response.is_readable
        return is_readable and self._has_response and not self._request.is_in_message

    def read_request(self, data: bytes) -> None:
        """Read bytes of the peer; ``identifier`` is that of the request they begin."""
        if self.is_between_requests:
            self.identifier = None
            self._request_count += 1
            self._has_response = False
        self._request.feed(data)

    def feed(self, data: bytes) -> None:
        """Read bytes of the endpoint."""
        self._response.feed(data)

    def _read_request_head(self, headers: tuple[Header, ...]) -> None:
        self.identifier = self._find_identifier(headers)

    def _read_response_head(self, headers: tuple[Header, ...]) -> None:
        status = self._response.parser.get_status_code()
        echoed = self._find_identifier(headers)
        self._is_response_expected = status in FINAL_STATUS_CODES and (
            self._request_count == 1 if echoed is None else echoed == self.identifier
        )
        if self._is_response_expected:
            self._notify_response_head(ResponseHead(status, headers))

    def _end_response(self) -> None:
        self._has_response = self._has_response or self._is_response_expected


class _MessageReader:
    """Reads the heads of messages in one direction, and where each ends."""

    def __init__(self, parser: Callable[[object], object]) -> None:
        self.parser = parser(self)
        self.on_head: Callable[[tuple[Header, ...]], None] = lambda headers: None
        self.on_end: Callable[[], None] = lambda: None
        self.is_readable = True
        self.is_in_message = False
        self._headers: list[Header] = []
        self._head_bytes = 0
        self._framing_bytes = 0
        self._has_read_body = False
        self._is_reading_head = False

    def feed(self, data: bytes) -> None:
        """Read bytes, unless earlier ones could not be parsed."""
        if not self.is_readable:
            return
        self._has_read_body = False
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._stop()
        if self._is_reading_head:
            self._head_bytes += len(data)
        elif self.is_in_message and not self._has_read_body:
            self._framing_bytes += len(data)
        else:
            self._framing_bytes = 0
        if max(self._head_bytes, self._framing_bytes) > MAX_HEAD_BYTES:
            self._stop()

    def _stop(self) -> None:
        self.is_readable = False
        self._headers = []

    # httptools callbacks

    def on_message_begin(self) -> None:
        self._headers = []
        self._head_bytes = self._framing_bytes = 0
        self._is_reading_head = True
        self.is_in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_reading_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._is_reading_head = False
        self.on_head(tuple(self._headers))

    def on_body(self, body: bytes) -> None:
        self._has_read_body = True

    def on_message_complete(self) -> None:
        self.is_in_message = False
        self.on_end()
