"""The command ``amaranthhollow``."""

from __future__ import annotations

import click

from amaranthhollow.cli.config_commands import config
from amaranthhollow.cli.host_commands import drain, state, status
from amaranthhollow.cli.log_commands import request
from amaranthhollow.cli.registry_commands import hosts

__all__ = ["main"]


@click.group()
@click.version_option(package_name="amaranthhollow")
def main() -> None:
    """Operate amaranthhollow.

    Exit codes: 0 success, 1 failure, 2 findings or invalid usage, 3 superseded by
    another revision, 4 outcome unknown.
    """


main.add_command(config)
main.add_command(status)
main.add_command(state)
main.add_command(drain)
main.add_command(request)
main.add_command(hosts)
