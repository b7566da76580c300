"""Findings: errors in a YAML file, with their location."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Finding"]


@dataclass(frozen=True, order=True)
class Finding:
    """One error in a file: its location, and what was expected there.

    ``str(Finding("site.yaml", 3, "peers.port", "a port number"))`` is
    ``site.yaml:3: peers.port: expected a port number``.
    """

    file: str
    line: int
    key: str
    expected: str

    def __str__(self) -> str:
        """Return the finding as one line."""
        return f"{self.file}:{self.line}: {self.key}: expected {self.expected}"
