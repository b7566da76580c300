"""Tests of the command ``request``, which reads the logs of several hosts."""

from __future__ import annotations

import json

from click.testing import CliRunner

from amaranthhollow.cli.main import main


def write_log(file, *records):
    lines = ["not a record\n", *(json.dumps(r) + "\n" for r in records)]
    file.write_text("".join(lines))
    return str(file)


def test_decisions_are_shown_in_order_across_hosts(tmp_path):
    refused = {"at": 2.0, "event": "refused", "request": "r1", "reason": "over quota"}
    forwarded = {"at": 1.0, "event": "forwarded", "request": "r1", "status": 502}
    other = {"at": 1.5, "event": "forwarded", "request": "r2", "status": 200}
    files = [
        write_log(tmp_path / "host-1.log", other, refused),
        write_log(tmp_path / "host-2.log", forwarded),
    ]

    result = CliRunner().invoke(main, ["request", "r1", *files])

    lines = result.output.splitlines()
    assert result.exit_code == 0
    assert lines[0].startswith("1.000 host-2.log forwarded: status=502")
    assert lines[1].startswith("2.000 host-1.log refused: reason=over quota")
    assert len(lines) == 2


def test_unknown_request_is_reported(tmp_path):
    file = write_log(tmp_path / "host-1.log")

    result = CliRunner().invoke(main, ["request", "r9", file])

    assert result.exit_code == 1
    assert "'r9'" in result.output
