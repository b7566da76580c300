"""HTTP messages as the serving layer sees them, and their encoding."""

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
"""A header's name in lower case, and its value."""

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"

# RFC 9110 section 7.6.1, and the framing that each connection sets for itself.
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
    """Method, target and headers of a request, as received."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an answer, as received.

    ``keeps_alive`` tells whether the connection may carry another request;
    ``ends_with_connection`` whether the body has no other end.
    """

    status: int
    headers: tuple[Header, ...]
    keeps_alive: bool = True
    ends_with_connection: bool = False


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for header, value in headers:
        if header == name:
            return value
    return None


def without_connection_headers(headers: Iterable[Header]) -> list[Header]:
    """Return the headers that concern the message and not its connection."""
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
    """Encode a request's head for HTTP/1.1."""
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    return _encode_head(lines, head.headers)


def encode_response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Encode an answer's head for HTTP/1.1."""
    return _encode_head([b"HTTP/1.1 %d %s" % (status, _reason(status))], headers)


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body; ``data`` is not empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _encode_head(lines: list[bytes], headers: Iterable[Header]) -> bytes:
    lines += [name + b": " + value for name, value in headers]
    return CRLF.join([*lines, b"", b""])


def _reason(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
