"""Problem documents (RFC 9457), the responses to requests without an answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.retries import Outcome

if TYPE_CHECKING:
    import falcon.asgi

__all__ = [
    "Problem",
    "ProblemError",
    "internal_error",
    "invalid_request",
    "quarantined_problem",
    "write_problem",
]

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:amaranthhollow:problem:"


@dataclass(frozen=True)
class Problem:
    """The reason for which a request was not answered, and its outcome.

    ``kind`` is the last part of the problem's type URI. ``retry_after_seconds`` is
    set if a retry may succeed.
    """

    status: int
    kind: str
    title: str
    detail: str
    outcome: Outcome
    field: str | None = None
    retry_after_seconds: int | None = None

    def document(self) -> dict[str, str | int]:
        """Return the members of the problem document."""
        members: dict[str, str | int] = {
            "type": TYPE_PREFIX + self.kind,
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome.value,
        }
        if self.field is not None:
            members["field"] = self.field
        return members


class ProblemError(Exception):
    """Ends a request with a problem document as its response."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.detail)
        self.problem = problem


def invalid_request(field: str, detail: str, status: int = 400) -> ProblemError:
    """Return the error for a request whose ``field`` is invalid."""
    return ProblemError(
        Problem(
            status=status,
            kind="invalid-request",
            title="The request is not valid",
            detail=detail,
            outcome=Outcome.NOT_RUN,
            field=field,
        )
    )


def internal_error(outcome: Outcome) -> Problem:
    """Return the problem for a request that failed by an unexpected exception."""
    return Problem(
        status=500,
        kind="internal-error",
        title="The system failed",
        detail="The request could not be handled.",
        outcome=outcome,
    )


def quarantined_problem() -> Problem:
    """Return the problem for a request that is quarantined for crashing endpoints."""
    return Problem(
        status=422,
        kind="quarantined",
        title="The request is quarantined",
        detail="This request was running at more than one endpoint that crashed; "
        "it is not run again.",
        outcome=Outcome.FAILED,
    )


def write_problem(response: falcon.asgi.Response, problem: Problem) -> None:
    """Write ``problem`` to an HTTP response, with its Retry-After if it has one."""
    response.status = problem.status
    response.content_type = CONTENT_TYPE
    response.data = msgspec.json.encode(problem.document())
    if problem.retry_after_seconds is not None:
        response.set_header("Retry-After", str(problem.retry_after_seconds))
