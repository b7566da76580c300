"""The command ``hosts``: shows which builds the entry hosts of a site run."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from ipaddress import ip_address

import click
from result import Err

from amaranthhollow.cli.context import fail, json_option, print_json
from amaranthhollow.platform.store import StoreClient
from amaranthhollow.serving.http_client import HttpClient
from amaranthhollow.state.host_registry import (
    HOSTS_PREFIX,
    RegisteredHost,
    decode_hosts,
)

__all__ = ["HostLine", "hosts"]

EARLIER = "earlier"


@dataclass(frozen=True)
class HostLine:
    """One line of ``hosts``; ``protocol`` is None for a host of an earlier version."""

    host: str
    data_centre: str
    address: str
    build: str
    protocol: int | None


class StoreAddress(click.ParamType):
    """An ``ADDRESS:PORT`` with an IP address."""

    name = "ADDRESS:PORT"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[str, int]:
        """Return the address and the port."""
        address, _, port = value.rpartition(":")
        try:
            return str(ip_address(address)), int(port)
        except ValueError:
            self.fail(f"{value!r} is not an IP address and a port", param, ctx)


@click.command()
@click.option(
    "--store", type=StoreAddress(), required=True, help="The platform's store."
)
@json_option
def hosts(store: tuple[str, int], as_json: bool) -> None:
    """Show the build and the protocol of every entry host registered in the store.

    The entry of a host that is gone stays for up to a minute.
    """
    lines = asyncio.run(_read_lines(*store))
    if as_json:
        print_json({"hosts": lines})
        return
    for line in lines:
        protocol = EARLIER if line.protocol is None else f"protocol {line.protocol}"
        click.echo(
            f"{line.host:<20} {line.data_centre:<12} {line.address:<16} "
            f"build {line.build:<12} {protocol}"
        )


async def _read_lines(address: str, port: int) -> list[HostLine]:
    client = StoreClient(HttpClient(address, port))
    listed = await client.list(HOSTS_PREFIX)
    if isinstance(listed, Err):
        fail(f"the store at {address}:{port}: {listed.err_value.detail}")
    hosts_by_name, errors_by_name = decode_hosts(listed.ok_value)
    for name, error in errors_by_name.items():
        click.echo(f"{HOSTS_PREFIX}{name}: {error}", err=True)
    return [_line_of(name, hosts_by_name[name]) for name in sorted(hosts_by_name)]


def _line_of(name: str, entry: RegisteredHost) -> HostLine:
    is_earlier = entry.protocol == 0
    return HostLine(
        name,
        entry.data_centre,
        entry.address,
        EARLIER if is_earlier else entry.build,
        None if is_earlier else entry.protocol,
    )
