"""How an attempt at an endpoint ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.serving.request import ResponseInfo

__all__ = ["Answered", "AttemptResult", "Delivered", "NotRun", "Unknown"]


@dataclass(frozen=True)
class NotRun:
    """The attempt has not run and never will."""

    reason: str


@dataclass(frozen=True)
class Unknown:
    """The attempt may have run."""

    reason: str


@dataclass(frozen=True)
class Answered:
    """The endpoint gave a whole answer that was not sent on yet."""

    facts: ResponseInfo
    body: bytes


@dataclass(frozen=True)
class Delivered:
    """The caller has its answer."""


AttemptResult = NotRun | Unknown | Answered | Delivered
