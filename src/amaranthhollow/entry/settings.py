"""Reads an entry host's settings, and reports errors by file, line and key."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from amaranthhollow.settings.document import read_document
from amaranthhollow.settings.findings import Finding

if TYPE_CHECKING:
    from pathlib import Path

    from amaranthhollow.settings.document import Document, KeyPath

__all__ = ["Bounds", "EntrySettings", "PortRange", "read_entry_settings"]


class PortRange(msgspec.Struct, frozen=True):
    """The ports from ``first`` to ``last``, inclusive, for traffic between hosts."""

    first: int
    last: int

    @property
    def relay(self) -> int:
        """The port at which hosts relay connections to endpoints."""
        return self.first + 1


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the site sets for the daemon; in seconds unless named otherwise."""

    key_removal_ms: float
    lease_ms: float
    shutdown: float
    usage_window: float
    usage_due: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window: float
    quota_over: float = 0.0
    quota_slack: float = 0.0


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings of one daemon; addresses are ``IP:PORT``."""

    host: str
    data_centre: str
    address: str
    callers: str
    readiness: str
    metrics_port: int
    store: str
    cloud: str
    peer_ports: PortRange
    bounds: Bounds
    is_first_start: bool = False


def read_entry_settings(
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
        address, _, port = getattr(settings, key).rpartition(":")
        if not address or not port.isdigit() or not 0 < int(port) < 65536:
            findings.append(_finding(document, (key,), "an address IP:PORT"))
    return findings


def _finding(document: Document, path: KeyPath, expected: str) -> Finding:
    key = ".".join(map(str, path)) or "(document)"
    return Finding(document.file, document.line_of(path), key, expected)
