"""Starts processes that end with the tests, also when these are killed."""

from __future__ import annotations

import ctypes
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

__all__ = ["ROOT", "start_python"]

ROOT = Path(__file__).resolve().parent.parent
# prctl(2): the signal that a process gets when its parent ends.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)


def start_python(
    arguments: list[str],
    output: IO[bytes],
    environment: dict[str, str] | None = None,
) -> subprocess.Popen[bytes]:
    """Start Python with ``arguments`` in the project's folder."""
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=environment,
        stdout=output,
        stderr=output,
        preexec_fn=_end_with_parent,
    )


def _end_with_parent() -> None:
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
