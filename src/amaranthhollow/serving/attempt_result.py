"""Results of an attempt at an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.serving.request import ResponseInfo

__all__ = [
    "AttemptResult",
    "Delivered",
    "NotRun",
    "OutcomeUnknown",
    "ResponseReceived",
    "Undeliverable",
]


@dataclass(frozen=True)
class NotRun:
    """The endpoint has not processed the request and will not."""

    reason: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The endpoint may have processed the request."""

    reason: str


@dataclass(frozen=True)
class ResponseReceived:
    """The endpoint sent a complete response, which was not relayed yet."""

    response: ResponseInfo
    body: bytes | bytearray


@dataclass(frozen=True)
class Undeliverable:
    """The endpoint has responded, and the response has no room or no reader."""

    reason: str


@dataclass(frozen=True)
class Delivered:
    """The complete response was relayed to the caller."""


AttemptResult = NotRun | OutcomeUnknown | ResponseReceived | Undeliverable | Delivered
