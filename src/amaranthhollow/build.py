"""Which build of the package runs."""

from __future__ import annotations

from pathlib import Path

__all__ = ["BUILD_FILE", "UNNAMED_BUILD", "build_name"]

# Written by tools/write_build.py.
BUILD_FILE = "BUILD"
UNNAMED_BUILD = "unnamed"


def build_name(package: Path = Path(__file__).parent) -> str:
    """Return the name of the build of a package, which its sources determine.

    Without a build step, as in a checkout, it is ``unnamed``.
    """
    try:
        return (package / BUILD_FILE).read_text().strip() or UNNAMED_BUILD
    except OSError:
        return UNNAMED_BUILD
