"""Checks a YAML document against a typed model and collects all findings."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from amaranthhollow.settings.findings import Finding

if TYPE_CHECKING:
    from pydantic_core import ErrorDetails

    from amaranthhollow.settings.document import Document

__all__ = ["check_document", "expectation"]

Model = TypeVar("Model")


def check_document(
    document: Document, model: type[Model]
) -> Result[Model, tuple[Finding, ...]]:
    """Return ``document`` as an instance of ``model``, or all findings in it."""
    try:
        return Ok(TypeAdapter(model).validate_python(document.value))
    except ValidationError as error:
        return Err(
            tuple(sorted(_finding(detail, document) for detail in error.errors()))
        )


def expectation(detail: ErrorDetails) -> str:
    """Return what was expected, from the details of a pydantic error.

    The text follows "expected" in :class:`Finding`.
    """
    match detail["type"]:
        case "extra_forbidden" | "unexpected_keyword_argument":
            return "no such key (unknown key)"
        case "missing":
            return "this key to be present"
        case _:
            message = detail["msg"].removeprefix("Input should be ")
            return message.removeprefix("Value error, ")


def _finding(detail: ErrorDetails, document: Document) -> Finding:
    path = tuple(detail["loc"])
    key = ".".join(map(str, path)) or "(document)"
    return Finding(document.file, document.line_of(path), key, expectation(detail))
