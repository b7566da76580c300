"""Runs the command as a module."""

from __future__ import annotations

from amaranthhollow.daemon.main import main

__all__: list[str] = []

main()
