"""The commands ``amaranthhollow config ...``."""

from __future__ import annotations

import difflib
import getpass
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING
from uuid import uuid4

import click
import yaml
from result import Err

from amaranthhollow.cli.context import (
    Clients,
    ExitCode,
    fail,
    json_option,
    print_findings,
    print_json,
    run_with_clients,
    settings_option,
)
from amaranthhollow.cli.revision_push import push_revision
from amaranthhollow.configuration.sources import read_sources
from amaranthhollow.decisions.configuration import HeadEntry, RevisionBody, RevisionHead
from amaranthhollow.state.configuration_store import (
    Accepted,
    Rejected,
    Superseded,
    Uncertain,
)

if TYPE_CHECKING:
    from amaranthhollow.configuration.overlay import SourceSet

__all__ = ["config"]

folder_argument = click.argument(
    "folder", type=click.Path(path_type=Path, file_okay=False, exists=True)
)


@click.group()
def config() -> None:
    """Check, compare, submit and show the configuration."""


@config.command()
@folder_argument
@json_option
def check(folder: Path, as_json: bool) -> None:
    """Check FOLDER/base.yaml and FOLDER/sites/*.yaml and print all findings."""
    _read_or_exit(folder, as_json=as_json)
    if as_json:
        print_json({"findings": []})
    else:
        click.echo(f"{folder}: no findings")


@config.command()
@folder_argument
@settings_option
@json_option
def diff(folder: Path, settings_file: Path, as_json: bool) -> None:
    """Compare FOLDER with the newest accepted revision."""
    sources = _read_or_exit(folder, as_json=as_json)

    async def job(clients: Clients) -> None:
        head = await _read_head(clients)
        before = (
            await _read_body(clients, head.newest) if head.newest else _empty_body()
        )
        after = _build_body(sources, author="", note="")
        lines = _diff_lines(before, after)
        if as_json:
            print_json({"revision": head.revision, "diff": lines})
        else:
            click.echo(f"compared with revision {head.revision}")
            click.echo("\n".join(lines) if lines else "no differences")

    run_with_clients(settings_file, job)


@config.command()
@folder_argument
@settings_option
@json_option
@click.option(
    "--on",
    "based_on",
    type=click.IntRange(min=0),
    required=True,
    help="Revision that the change is based on.",
)
@click.option("--note", default="", help="Purpose of the change.")
@click.option("--author", default=None, help="Author; the current user by default.")
def submit(
    folder: Path,
    settings_file: Path,
    as_json: bool,
    based_on: int,
    note: str,
    author: str | None,
) -> None:
    """Submit FOLDER as the revision that follows the one given by --on."""
    sources = _read_or_exit(folder, as_json=as_json)
    body = _build_body(sources, author or getpass.getuser(), note)

    async def job(clients: Clients) -> None:
        result = await clients.store.submit(body, based_on, time.time())
        match result:
            case Accepted(entry):
                push = await push_revision(clients, entry, body)
                _print_entries([entry], as_json=as_json, prefix="accepted ")
                if not as_json:
                    click.echo(
                        f"accepted by {push.accepted_count} "
                        f"of {push.sent_count} daemons"
                    )
            case Superseded(intervening):
                _print_entries(intervening, as_json=as_json, prefix="came between: ")
                message = f"revision {based_on} is not the newest; nothing was changed"
                fail(message, ExitCode.SUPERSEDED)
            case Rejected(message):
                fail(f"not submitted: {message}")
            case Uncertain(change_id):
                message = f"outcome unknown; look for change {change_id} in the history"
                fail(message, ExitCode.UNCERTAIN)

    run_with_clients(settings_file, job)


@config.command()
@settings_option
@json_option
@click.option("--revision", type=click.IntRange(min=1), help="The newest by default.")
def show(settings_file: Path, as_json: bool, revision: int | None) -> None:
    """Show an accepted revision with its base and overlays."""

    async def job(clients: Clients) -> None:
        head = await _read_head(clients)
        selected = revision or head.revision
        entries = [entry for entry in head.entries if entry.revision == selected]
        if not entries:
            fail(f"revision {selected} does not exist")
        body = await _read_body(clients, entries[0])
        if as_json:
            print_json({"entry": entries[0], "body": body})
        else:
            _print_entries(entries, as_json=False)
            click.echo(_dump_yaml(body), nl=False)

    run_with_clients(settings_file, job)


@config.command()
@settings_option
@json_option
def history(settings_file: Path, as_json: bool) -> None:
    """List the accepted revisions, newest last."""

    async def job(clients: Clients) -> None:
        head = await _read_head(clients)
        _print_entries(head.entries, as_json=as_json)

    run_with_clients(settings_file, job)


def _read_or_exit(folder: Path, *, as_json: bool) -> SourceSet:
    sources = read_sources(folder)
    if isinstance(sources, Err):
        print_findings(sources.err_value, as_json=as_json)
        sys.exit(ExitCode.FINDINGS)
    return sources.ok_value


async def _read_head(clients: Clients) -> RevisionHead:
    head = await clients.store.read_head()
    if isinstance(head, Err):
        fail(f"the key-value service does not answer: {head.err_value}")
    return head.ok_value


async def _read_body(clients: Clients, entry: HeadEntry) -> RevisionBody:
    body = await clients.store.read_revision(entry.change_id)
    if isinstance(body, Err):
        fail(f"revision {entry.revision} cannot be read: {body.err_value}")
    return body.ok_value


def _build_body(sources: SourceSet, author: str, note: str) -> RevisionBody:
    overlays = {s: d.value for s, d in sources.overlays_by_site.items()}
    return RevisionBody(sources.base.value, overlays, author, note, uuid4().hex)


def _empty_body() -> RevisionBody:
    return RevisionBody(base={}, overlays_by_site={}, author="", note="", nonce="")


def _dump_yaml(body: RevisionBody) -> str:
    documents = {"base": body.base, "sites": body.overlays_by_site}
    return yaml.safe_dump(documents, sort_keys=True)


def _diff_lines(before: RevisionBody, after: RevisionBody) -> list[str]:
    old, new = _dump_yaml(before).splitlines(), _dump_yaml(after).splitlines()
    return list(difflib.unified_diff(old, new, "accepted", "folder", lineterm=""))


def _print_entries(
    entries: tuple[HeadEntry, ...] | list[HeadEntry], *, as_json: bool, prefix: str = ""
) -> None:
    if as_json:
        print_json({"entries": list(entries)})
        return
    for entry in entries:
        at = datetime.fromtimestamp(entry.accepted_at, UTC).isoformat(" ", "seconds")
        click.echo(
            f"{prefix}revision {entry.revision} {entry.change_id} {at} "
            f"{entry.author}: {entry.note}"
        )
