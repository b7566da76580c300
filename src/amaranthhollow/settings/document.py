"""Parses YAML documents and records the line of every key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import yaml
from result import Err, Ok, Result

from amaranthhollow.settings.findings import Finding

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Document", "KeyPath", "parse_document", "read_document"]

KeyPath = tuple[str | int, ...]


@dataclass(frozen=True)
class Document:
    """A parsed YAML file: its value, and the line number of each key path."""

    file: str
    value: object
    lines_by_path: dict[KeyPath, int]

    def line_of(self, path: KeyPath) -> int:
        """Return the line of ``path`` or of its nearest enclosing key."""
        while path and path not in self.lines_by_path:
            path = path[:-1]
        return self.lines_by_path.get(path, 1)


def read_document(path: Path) -> Result[Document, tuple[Finding, ...]]:
    """Read and parse the YAML file at ``path``."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err((Finding(str(path), 1, "(file)", f"a readable file: {error}"),))
    return parse_document(text, str(path))


def parse_document(text: str, file: str) -> Result[Document, tuple[Finding, ...]]:
    """Parse YAML ``text``; a syntax error or a duplicate key is a finding."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        value = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return Err((Finding(file, line, "(syntax)", f"valid YAML: {error.problem}"),))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return Err((Finding(file, 1, "(syntax)", f"valid YAML: {error}"),))
    lines_by_path: dict[KeyPath, int] = {}
    findings: list[Finding] = []
    if node is not None:
        _collect_lines(node, (), file, lines_by_path, findings)
    if findings:
        return Err(tuple(findings))
    return Ok(Document(file, value if value is not None else {}, lines_by_path))


def _collect_lines(
    node: yaml.Node,
    path: KeyPath,
    file: str,
    lines_by_path: dict[KeyPath, int],
    findings: list[Finding],
) -> None:
    lines_by_path.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.SequenceNode):
        for index, item in enumerate(node.value):
            _collect_lines(item, (*path, index), file, lines_by_path, findings)
    if isinstance(node, yaml.MappingNode):
        seen: set[str] = set()
        for key_node, value_node in node.value:
            key = key_node.value if isinstance(key_node.value, str) else "(key)"
            line = key_node.start_mark.line + 1
            key_path = (*path, key)
            if key in seen:
                name = ".".join(map(str, key_path))
                findings.append(Finding(file, line, name, "each key only once"))
            seen.add(key)
            lines_by_path[key_path] = line
            _collect_lines(value_node, key_path, file, lines_by_path, findings)
