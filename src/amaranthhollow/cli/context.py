"""Options, clients and output that the commands of the operators' tool share."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn

import aiohttp
import click
import msgspec
from result import Err

from amaranthhollow.platform.store import StoreClient
from amaranthhollow.serving.http_client import HttpClient
from amaranthhollow.settings.model import read_operator_settings
from amaranthhollow.state.configuration_store import ConfigurationStore
from amaranthhollow.state.host_list import HostListClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from amaranthhollow.settings.findings import Finding
    from amaranthhollow.settings.model import OperatorSettings

__all__ = [
    "Clients",
    "ExitCode",
    "fail",
    "json_option",
    "print_findings",
    "print_json",
    "run_with_clients",
    "settings_option",
]


class ExitCode(IntEnum):
    """Exit codes of the tool."""

    FAILED = 1
    FINDINGS = 2
    SUPERSEDED = 3
    UNCERTAIN = 4


@dataclass(frozen=True)
class Clients:
    """Clients for the platform and for daemons, as one command uses them."""

    session: aiohttp.ClientSession
    settings: OperatorSettings
    store: ConfigurationStore
    host_list: HostListClient


settings_option = click.option(
    "--settings",
    "settings_file",
    type=click.Path(path_type=Path),
    envvar="AMARANTHHOLLOW_SETTINGS",
    required=True,
    help="Settings file of the tool, in YAML (or AMARANTHHOLLOW_SETTINGS).",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def run_with_clients(
    settings_file: Path, job: Callable[[Clients], Awaitable[None]]
) -> None:
    """Read the settings file and run ``job`` with clients for it."""
    settings = read_operator_settings(settings_file)
    if isinstance(settings, Err):
        print_findings(settings.err_value, as_json=False)
        sys.exit(ExitCode.FINDINGS)
    asyncio.run(_run(settings.ok_value, job))


async def _run(
    settings: OperatorSettings, job: Callable[[Clients], Awaitable[None]]
) -> None:
    async with aiohttp.ClientSession() as session:
        http_client = HttpClient.from_url(settings.key_value_service)
        store = ConfigurationStore(StoreClient(http_client))
        host_list = HostListClient(session, str(settings.host_list))
        await job(Clients(session, settings, store, host_list))


def print_findings(findings: Iterable[Finding], *, as_json: bool) -> None:
    """Print findings, one per line or as JSON."""
    if as_json:
        print_json({"findings": list(findings)})
        return
    for finding in findings:
        click.echo(str(finding), err=True)


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def fail(message: str, code: ExitCode = ExitCode.FAILED) -> NoReturn:
    """Print an error message and exit."""
    click.echo(message, err=True)
    sys.exit(code)
