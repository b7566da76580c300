"""Reads an entry host's settings as YAML, with errors by file, line and key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from amaranthhollow.entry.settings import EntrySettings, is_address
from amaranthhollow.settings.document import read_document
from amaranthhollow.settings.findings import Finding

if TYPE_CHECKING:
    from pathlib import Path

    from amaranthhollow.settings.document import Document, KeyPath

__all__ = ["read_checked_settings"]


def read_checked_settings(
    path: Path,
) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Read and check the settings file at ``path``, or return all findings."""
    document = read_document(path)
    if isinstance(document, Err):
        return document
    findings: list[Finding] = []
    settings = _convert(document.ok_value, (), document.ok_value.value, EntrySettings)
    match settings:
        case Err(field_findings):
            findings += field_findings
        case Ok(value):
            findings += _address_findings(document.ok_value, value)
            if not findings:
                return Ok(value)
    return Err(tuple(sorted(findings)))


def _convert(
    document: Document, path: KeyPath, value: object, model: type
) -> Result[object, list[Finding]]:
    """Convert field by field, so that all findings are reported at once."""
    if not isinstance(value, dict):
        return Err([_finding(document, path, "a mapping")])
    findings: list[Finding] = []
    converted: dict[str, object] = {}
    for field in msgspec.structs.fields(model):
        field_path = (*path, field.encode_name)
        if field.encode_name not in value:
            if field.required:
                findings.append(
                    _finding(document, field_path, "this key to be present")
                )
            continue
        result = _convert_field(
            document, field_path, value[field.encode_name], field.type
        )
        match result:
            case Ok(item):
                converted[field.name] = item
            case Err(field_findings):
                findings += field_findings
    known_keys = {field.encode_name for field in msgspec.structs.fields(model)}
    for key in value.keys() - known_keys:
        findings.append(_finding(document, (*path, key), "no such key (unknown key)"))
    return Err(findings) if findings else Ok(model(**converted))


def _convert_field(
    document: Document, path: KeyPath, value: object, kind: type
) -> Result[object, list[Finding]]:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _convert(document, path, value, kind)
    try:
        return Ok(msgspec.convert(value, kind))
    except msgspec.ValidationError as error:
        return Err([_finding(document, path, str(error).removeprefix("Expected "))])


def _address_findings(document: Document, settings: EntrySettings) -> list[Finding]:
    findings = []
    for key in ("callers", "readiness", "store", "cloud"):
        if not is_address(getattr(settings, key)):
            findings.append(_finding(document, (key,), "an address IP:PORT"))
    return findings


def _finding(document: Document, path: KeyPath, expected: str) -> Finding:
    key = ".".join(map(str, path)) or "(document)"
    return Finding(document.file, document.line_of(path), key, expected)
