"""Tests of the operators' tool: exit codes, JSON and text output."""

from __future__ import annotations

import json
from pathlib import Path

from click.testing import CliRunner

from amaranthhollow.cli.main import main

EXAMPLE = Path(__file__).resolve().parent.parent.parent / "examples" / "config"


def invoke(*arguments):
    return CliRunner().invoke(main, list(arguments))


def test_every_command_has_help():
    for name in ("check", "diff", "submit", "show", "history"):
        assert invoke("config", name, "--help").exit_code == 0
    for name in ("status", "state", "drain"):
        assert invoke(name, "--help").exit_code == 0


def test_example_configuration_has_no_findings():
    result = invoke("config", "check", str(EXAMPLE), "--json")
    assert (result.exit_code, json.loads(result.output)) == (0, {"findings": []})


def test_check_prints_findings_as_json(tmp_path):
    (tmp_path / "base.yaml").write_text("oddity: 1\n")
    result = invoke("config", "check", str(tmp_path), "--json")
    finding = json.loads(result.output)["findings"][0]
    assert result.exit_code == 2
    assert (finding["line"], finding["key"]) == (1, "oddity")


async def test_commands_against_running_site(configured_site, tmp_path):
    status = await configured_site.run_cli("status", "--json")
    hosts = json.loads(status.stdout)["hosts"]
    assert {(h["host"], h["state"], h["revision"]) for h in hosts} == {
        ("entry-1", "ready", 1),
        ("entry-2", "ready", 1),
    }
    diff = await configured_site.run_cli("config", "diff", str(EXAMPLE))
    assert "compared with revision 1" in diff.stdout
    assert "-  councils:" in diff.stdout.replace("    ", "  ")
    stale = await configured_site.submit_sources(EXAMPLE, 0)
    assert (stale.returncode, "came between: revision 1" in stale.stdout) == (3, True)
    show = await configured_site.run_cli("config", "show", "--json")
    assert json.loads(show.stdout)["entry"]["revision"] == 1
    missing = await configured_site.run_cli("state", "entry-9")
    assert (missing.returncode, "'entry-9'" in missing.stderr) == (1, True)


async def test_unreachable_service_is_reported(configured_site):
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    result = await configured_site.run_cli("config", "history")
    assert result.returncode == 1
    assert "does not answer" in result.stderr
