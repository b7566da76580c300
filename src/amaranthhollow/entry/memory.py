"""Finds out how much memory a host may take."""

from __future__ import annotations

from pathlib import Path

from amaranthhollow.serving.held_memory import DEFAULT_MEGABYTES

__all__ = ["memory_limit_megabytes"]

MEMORY_FILE = Path("/proc/meminfo")
TOTAL_FIELD = "MemTotal:"
KILOBYTES_PER_MEGABYTE = 1024
# A larger machine is shared with others, or has room for more than a crowd can use.
MAX_SYSTEM_MEGABYTES = 2_048


def memory_limit_megabytes(
    setting: int | None = None, memory_file: Path = MEMORY_FILE
) -> int:
    """Return the setting, else what the system has, else a default.

    Example::

        memory_limit_megabytes(160)  # 160
    """
    if setting is not None:
        return setting
    try:
        lines = memory_file.read_text().splitlines()
        total = next(li for li in lines if li.startswith(TOTAL_FIELD))
        megabytes = int(total.split()[1]) // KILOBYTES_PER_MEGABYTE
    except (OSError, StopIteration, ValueError, IndexError):
        return DEFAULT_MEGABYTES
    return max(1, min(megabytes, MAX_SYSTEM_MEGABYTES))
