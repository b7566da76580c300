"""Merges site overlays into the base configuration and validates the result."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from amaranthhollow.configuration.model import Configuration
from amaranthhollow.settings.checker import expectation
from amaranthhollow.settings.findings import Finding

if TYPE_CHECKING:
    from pydantic_core import ErrorDetails

    from amaranthhollow.settings.document import Document, KeyPath

__all__ = ["SourceSet", "check_sources", "merge", "site_configuration"]


@dataclass(frozen=True)
class SourceSet:
    """The documents that an operator submits: one base and one overlay per site."""

    base: Document
    overlays_by_site: dict[str, Document]


def merge(base: object, overlay: object) -> object:
    """Return ``base`` with ``overlay`` merged into it.

    Mappings merge key by key, ``None`` removes a key, and any other value
    replaces the one in ``base``:
    ``merge({"a": 1, "b": 2}, {"a": None, "b": 3})`` is ``{"b": 3}``.
    """
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    merged = dict(base)
    for key, value in overlay.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge(merged.get(key), value)
    return merged


def site_configuration(base: object, overlay: object) -> Configuration:
    """Return the configuration of a site.

    Raises ``pydantic.ValidationError`` if the sources are invalid; see
    :func:`check_sources`.
    """
    return TypeAdapter(Configuration).validate_python(merge(base, overlay))


def check_sources(sources: SourceSet) -> Result[None, tuple[Finding, ...]]:
    """Validate the base alone and with each overlay; return all findings."""
    findings = set(_check_merged(sources.base, sources.base))
    for overlay in sources.overlays_by_site.values():
        findings.update(_check_merged(sources.base, overlay))
    return Err(tuple(sorted(findings))) if findings else Ok(None)


def _check_merged(base: Document, overlay: Document) -> list[Finding]:
    if not isinstance(overlay.value, dict):
        return [Finding(overlay.file, 1, "(document)", "a mapping")]
    try:
        configuration = site_configuration(base.value, overlay.value)
    except ValidationError as error:
        return [_finding_of(detail, base, overlay) for detail in error.errors()]
    return _find_duplicates(configuration, base, overlay)


def _find_duplicates(
    configuration: Configuration, base: Document, overlay: Document
) -> list[Finding]:
    """Return findings for models and API keys that two entries have in common."""
    findings = []
    seen: dict[str, str] = {}
    unique_values = [
        (("deployments", name, "model"), getattr(deployment, "model", None))
        for name, deployment in configuration.deployments.items()
    ] + [
        (("workspaces", name, "key_sha256"), workspace.key_sha256)
        for name, workspace in configuration.workspaces.items()
    ]
    for path, value in unique_values:
        if value is None:
            continue
        owner = seen.setdefault(value, path[1])
        if owner != path[1]:
            source = _source_of(path, base, overlay)
            findings.append(
                Finding(
                    source.file,
                    source.line_of(path),
                    ".".join(path),
                    f"a value that {owner!r} does not already use",
                )
            )
    return findings


def _finding_of(detail: ErrorDetails, base: Document, overlay: Document) -> Finding:
    """Return a validation error as a finding with the file and line of its key."""
    path = _without_discriminator(tuple(detail["loc"]))
    source = _source_of(path, base, overlay)
    key = ".".join(map(str, path)) or "(document)"
    return Finding(source.file, source.line_of(path), key, expectation(detail))


def _without_discriminator(path: KeyPath) -> KeyPath:
    """Remove the path element that pydantic adds for the kind of a deployment."""
    if path[:1] == ("deployments",):
        return path[:2] + path[3:]
    return path


def _source_of(path: KeyPath, base: Document, overlay: Document) -> Document:
    """Return the document that has the key, or else the nearest enclosing key.

    The overlay takes precedence.
    """
    while path:
        if path in overlay.lines_by_path:
            return overlay
        if path in base.lines_by_path:
            return base
        path = path[:-1]
    return base
