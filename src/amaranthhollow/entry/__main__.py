"""Starts the daemon of an entry host."""

from __future__ import annotations

import gc
import sys

__all__ = ["main"]


def main() -> int:
    """Run the daemon with the settings file named in ``AMARANTHHOLLOW_NODE_FILE``."""
    # What is loaded at the start is kept, so collections during it free nothing, and
    # later ones need not visit it.
    gc.disable()
    from amaranthhollow.entry.command import run

    gc.freeze()
    gc.enable()
    return run()


if __name__ == "__main__":
    sys.exit(main())
