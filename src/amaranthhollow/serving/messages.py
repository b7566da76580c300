"""HTTP/1.1 message heads and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CRLF",
    "LAST_CHUNK",
    "Header",
    "RequestHead",
    "ResponseHead",
    "encode_chunk",
    "encode_request_head",
    "encode_response_head",
    "find_header",
    "without_connection_headers",
]

Header = tuple[bytes, bytes]
"""The name of a header in lower case, and its value."""

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"

# Hop-by-hop headers of RFC 9110 section 7.6.1, and the framing of each connection.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclass(frozen=True)
class RequestHead:
    """Method, target and headers of a request."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a response.

    ``keeps_alive`` is whether the connection may carry another request;
    ``is_close_delimited`` is whether the body ends when the connection closes.
    """

    status: int
    headers: tuple[Header, ...]
    keeps_alive: bool = True
    is_close_delimited: bool = False


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for header, value in headers:
        if header == name:
            return value
    return None


def without_connection_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the end-to-end headers, without those of the connection."""
    headers = list(headers)
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = CONNECTION_HEADERS | named
    return [header for header in headers if header[0] not in dropped]


def encode_request_head(head: RequestHead) -> bytes:
    """Encode the head of a request."""
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    return _encode_head(lines, head.headers)


def encode_response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Encode the head of a response."""
    return _encode_head([b"HTTP/1.1 %d %s" % (status, _reason_phrase(status))], headers)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body; ``data`` must not be empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _encode_head(lines: list[bytes], headers: Iterable[Header]) -> bytes:
    lines += [name + b": " + value for name, value in headers]
    return CRLF.join([*lines, b"", b""])


def _reason_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
