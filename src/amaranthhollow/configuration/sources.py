"""Reads the files of a configuration: ``base.yaml`` and ``sites/<site>.yaml``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from amaranthhollow.configuration.overlay import SourceSet, check_sources
from amaranthhollow.settings.document import Document, read_document

if TYPE_CHECKING:
    from pathlib import Path

    from amaranthhollow.settings.findings import Finding

__all__ = ["read_sources"]


def read_sources(folder: Path) -> Result[SourceSet, tuple[Finding, ...]]:
    """Read and validate the configuration in ``folder``; return all findings."""
    findings: list[Finding] = []
    base = _read(folder / "base.yaml", findings)
    overlays_by_site = {}
    for path in sorted((folder / "sites").glob("*.yaml")):
        overlay = _read(path, findings)
        if overlay is not None:
            overlays_by_site[path.stem] = overlay
    if base is None:
        return Err(tuple(findings))
    sources = SourceSet(base, overlays_by_site)
    checked = check_sources(sources)
    if isinstance(checked, Err):
        findings += checked.err_value
    return Err(tuple(findings)) if findings else Ok(sources)


def _read(path: Path, findings: list[Finding]) -> Document | None:
    document = read_document(path)
    if isinstance(document, Err):
        findings += document.err_value
        return None
    return document.ok_value
