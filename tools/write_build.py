"""Names the build of a package by its sources, and writes the name into its folder.

Usage: ``python tools/write_build.py [--print-only] FOLDER``. The same sources have the
same name, so that of a checkout tells which hosts run it.
"""

from __future__ import annotations

import sys
from hashlib import sha256
from pathlib import Path

SUFFIXES = (".py", ".capnp")
BUILD_FILE = "BUILD"
NAME_LENGTH = 12


def name_of(folder: Path) -> str:
    """Return the name of the sources in a folder."""
    digest = sha256()
    files = [file for file in folder.rglob("*") if file.suffix in SUFFIXES]
    for file in sorted(files, key=lambda file: file.relative_to(folder).as_posix()):
        content = file.read_bytes()
        name = file.relative_to(folder).as_posix()
        digest.update(f"{name}\0{len(content)}\0".encode() + content)
    return digest.hexdigest()[:NAME_LENGTH]


def main() -> None:
    """Write and print the name of the folder that the command line names."""
    *options, folder = sys.argv[1:]
    name = name_of(Path(folder))
    if options != ["--print-only"]:
        (Path(folder) / BUILD_FILE).write_text(f"{name}\n")
    print(name)


if __name__ == "__main__":
    main()
