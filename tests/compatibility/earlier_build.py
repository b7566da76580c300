"""Builds of earlier versions from the history of the repository."""

from __future__ import annotations

import subprocess
import tarfile
from io import BytesIO
from pathlib import Path

import pytest

__all__ = ["EARLIER_COMMITS", "extract_source"]

ROOT = Path(__file__).resolve().parents[2]
# The landings that hosts of this version work beside.
EARLIER_COMMITS = ("8569ab7", "7c57ee7", "ed1397e", "95a4ed3")


def extract_source(commit: str, folder: Path) -> Path:
    """Return the folder with the packages of a commit; skip without its history."""
    archive = subprocess.run(
        ["git", "archive", commit, "src"], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        pytest.skip(f"the history lacks {commit}: {archive.stderr.decode().strip()}")
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as opened:
        opened.extractall(folder, filter="data")
    return folder / "src"
