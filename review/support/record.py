"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes lines with the seconds since the start of the run."""

    def __init__(self, file: Path) -> None:
        """Begin a new record in ``file``."""
        self._file = file.open("w")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")

    def close(self) -> None:
        """Write what is left, and close the file."""
        self._file.close()
