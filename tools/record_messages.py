"""Records what a commit exchanges and stores, for tests/compatibility.

Usage: ``python tools/record_messages.py COMMIT``, at each landing. Needs the history.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path
from tempfile import TemporaryDirectory

ROOT = Path(__file__).resolve().parents[1]
FOLDER = ROOT / "tests" / "compatibility"


def main() -> None:
    """Write the samples of the commit that the command line names."""
    commit = sys.argv[1]
    archive = subprocess.run(
        ["git", "archive", commit, "src"], cwd=ROOT, capture_output=True, check=True
    )
    with TemporaryDirectory() as folder:
        with tarfile.open(fileobj=BytesIO(archive.stdout)) as opened:
            opened.extractall(folder, filter="data")
        found = subprocess.run(
            [sys.executable, str(FOLDER / "samples.py")],
            env={**os.environ, "PYTHONPATH": str(Path(folder) / "src")},
            capture_output=True,
            check=True,
            text=True,
        )
    (FOLDER / "recorded" / f"{commit}.json").write_text(found.stdout)


if __name__ == "__main__":
    main()
