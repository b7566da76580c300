"""The command ``request``: shows the decisions on a request from the logs of hosts."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click
import msgspec

from amaranthhollow.cli.context import ExitCode, fail, json_option, print_json

__all__ = ["find_decisions", "request"]

HIDDEN_FIELDS = frozenset({"at", "level", "part", "event", "request"})


@click.command()
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
@json_option
def request(request_id: str, files: tuple[Path, ...], as_json: bool) -> None:
    """Show the decisions on REQUEST_ID in the log FILES of hosts, oldest first."""
    decisions = find_decisions(request_id, files)
    if as_json:
        print_json({"decisions": decisions})
        return
    if not decisions:
        fail(f"no log record for request {request_id!r}", ExitCode.FAILED)
    for decision in decisions:
        click.echo(_format_decision(decision))


def find_decisions(request_id: str, files: tuple[Path, ...]) -> list[dict[str, Any]]:
    """Return the log records of a request with their file names, oldest first."""
    found = []
    for file in files:
        with file.open("rb") as lines:
            for line in lines:
                record = _decode_record(line)
                if record.get("request") == request_id:
                    found.append({**record, "file": file.name})
    return sorted(found, key=lambda record: record.get("at", 0))


def _decode_record(line: bytes) -> dict[str, Any]:
    """Return the JSON record in a line, or an empty dict if there is none."""
    start = line.find(b"{")
    if start < 0:
        return {}
    try:
        return msgspec.json.decode(line[start:], type=dict[str, Any])
    except msgspec.DecodeError:
        return {}


def _format_decision(decision: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in decision.items()
        if name not in HIDDEN_FIELDS and name != "file"
    )
    return f"{decision['at']:.3f} {decision['file']} {decision['event']}: {fields}"
