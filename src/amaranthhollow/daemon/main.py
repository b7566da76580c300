"""The command ``amaranthhollowd``."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click
import logbook
from result import Err

from amaranthhollow.daemon.service import run_daemon
from amaranthhollow.settings.model import read_settings

__all__ = ["main"]

EXIT_FINDINGS = 2
EXIT_FAILED = 1
LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


@click.command()
@click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    required=True,
    help="Settings file of the daemon, in YAML.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="amaranthhollow")
def main(settings_file: Path, check: bool) -> None:
    """Run an amaranthhollow daemon until it is drained."""
    settings = read_settings(settings_file)
    if isinstance(settings, Err):
        for finding in settings.err_value:
            click.echo(str(finding), err=True)
        sys.exit(EXIT_FINDINGS)
    if check:
        click.echo(f"{settings_file}: no findings")
        return
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, format_string=LOG_FORMAT, level="INFO")
    with handler.applicationbound():
        try:
            asyncio.run(run_daemon(settings.ok_value))
        except OSError as error:
            click.echo(f"{settings_file}: cannot start: {error}", err=True)
            sys.exit(EXIT_FAILED)
