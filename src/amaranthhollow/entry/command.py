"""Command of the daemon of an entry host."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

from result import Err

from amaranthhollow.entry.json_log import JsonLinesHandler
from amaranthhollow.entry.service import run_entry_host
from amaranthhollow.entry.settings import read_entry_settings

__all__ = ["run"]

SETTINGS_FILE_VARIABLE = "AMARANTHHOLLOW_NODE_FILE"
EXIT_INVALID_SETTINGS = 2


def run() -> int:
    """Run the daemon until it is stopped, and return its exit status."""
    settings_file = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    settings = read_entry_settings(Path(settings_file))
    if isinstance(settings, Err):
        for finding in settings.err_value:
            print(finding, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    with JsonLinesHandler().applicationbound():
        asyncio.run(run_entry_host(settings.ok_value))
    return 0
