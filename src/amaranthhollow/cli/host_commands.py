"""The commands ``status``, ``state`` and ``drain``."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import click
import msgspec
from result import Err, Ok, Result

from amaranthhollow.cli.context import (
    Clients,
    fail,
    json_option,
    print_json,
    run_with_clients,
    settings_option,
)

if TYPE_CHECKING:
    from pathlib import Path

    from amaranthhollow.state.host_list import HostEntry

__all__ = ["drain", "state", "status"]

REQUEST_TIMEOUT_SECONDS = 3.0


class StateSummary(msgspec.Struct):
    """Fields of a daemon's state dump that ``status`` prints."""

    class Revision(msgspec.Struct):
        """The configuration in force."""

        revision: int

    state: str
    open_requests: int
    configuration: Revision


@dataclass(frozen=True)
class HostStatus:
    """One line of ``status``."""

    host: str
    data_centre: str
    state: str
    revision: int | None
    open_requests: int | None


@click.command()
@settings_option
@json_option
def status(settings_file: Path, as_json: bool) -> None:
    """Show the state, revision in force and open requests of every daemon."""

    async def job(clients: Clients) -> None:
        hosts = await _read_entry_hosts(clients)
        statuses = await asyncio.gather(
            *(_fetch_status(clients, host) for host in hosts)
        )
        if as_json:
            print_json({"hosts": statuses})
            return
        for item in statuses:
            click.echo(
                f"{item.host:<20} {item.data_centre:<12} {item.state:<12} "
                f"revision {item.revision} open {item.open_requests}"
            )

    run_with_clients(settings_file, job)


@click.command()
@click.argument("host")
@settings_option
@json_option
def state(host: str, settings_file: Path, as_json: bool) -> None:
    """Print the state dump of the daemon on HOST, always as JSON."""

    async def job(clients: Clients) -> None:
        entry = await _find_host(clients, host)
        dump = await _request(clients, entry, "GET", "state")
        if isinstance(dump, Err):
            fail(f"the daemon on {host!r} does not answer: {dump.err_value}")
        print_json(msgspec.json.decode(dump.ok_value))

    run_with_clients(settings_file, job)


@click.command()
@click.argument("host")
@settings_option
@json_option
def drain(host: str, settings_file: Path, as_json: bool) -> None:
    """Shut down the daemon on HOST gracefully; it completes open requests first."""

    async def job(clients: Clients) -> None:
        entry = await _find_host(clients, host)
        reply = await _request(clients, entry, "POST", "drain")
        if isinstance(reply, Err):
            fail(f"the daemon on {host!r} does not answer: {reply.err_value}")
        if as_json:
            print_json({"host": host, "state": "draining"})
        else:
            click.echo(f"{host} is draining")

    run_with_clients(settings_file, job)


async def _read_entry_hosts(clients: Clients) -> list[HostEntry]:
    listing = await clients.host_list.read()
    if isinstance(listing, Err):
        fail(f"the host list cannot be read: {listing.err_value}")
    return [entry for entry in listing.ok_value.hosts if entry.role == "entry"]


async def _find_host(clients: Clients, host: str) -> HostEntry:
    for entry in await _read_entry_hosts(clients):
        if entry.host == host:
            return entry
    fail(f"the host list has no entry host {host!r}")


async def _fetch_status(clients: Clients, entry: HostEntry) -> HostStatus:
    dump = await _request(clients, entry, "GET", "state")
    if isinstance(dump, Err):
        return HostStatus(entry.host, entry.data_centre, "unreachable", None, None)
    summary = msgspec.json.decode(dump.ok_value, type=StateSummary)
    return HostStatus(
        host=entry.host,
        data_centre=entry.data_centre,
        state=summary.state,
        revision=summary.configuration.revision,
        open_requests=summary.open_requests,
    )


async def _request(
    clients: Clients, entry: HostEntry, method: str, path: str
) -> Result[bytes, str]:
    url = f"http://{entry.address}:{clients.settings.operator_port}/{path}"
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    try:
        async with clients.session.request(method, url, timeout=timeout) as response:
            body = await response.read()
            if response.status >= 400:
                return Err(f"HTTP status {response.status}")
            return Ok(body)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return Err(str(error) or type(error).__name__)
