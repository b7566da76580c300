"""Tests of the settings file: findings give file, line, key and expectation."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from amaranthhollow.daemon.main import main
from amaranthhollow.settings.document import parse_document
from amaranthhollow.settings.model import read_settings

VALID_SETTINGS = """\
host: entry-1
data_centre: dc-1
site: example
address: 127.0.0.1
key_value_service: http://127.0.0.1:2379
host_list: http://127.0.0.1:8500
"""


@pytest.fixture
def write_settings(tmp_path):
    def write(text):
        path = tmp_path / "daemon.yaml"
        path.write_text(text)
        return path

    return write


def read_findings(path):
    return [str(finding) for finding in read_settings(path).err_value]


def test_valid_settings(write_settings):
    settings = read_settings(write_settings(VALID_SETTINGS)).ok_value
    assert (settings.host, settings.caller_port) == ("entry-1", 8080)


def test_all_findings_are_reported_together(write_settings):
    path = write_settings(
        VALID_SETTINGS.replace("127.0.0.1\n", "somewhere\n", 1).replace(
            "site: example\n", ""
        )
        + "caller_port: 70000\nprots: 1\n"
    )
    text = "\n".join(read_findings(path))
    assert f"{path}:1: site: expected this key to be present" in text
    assert f"{path}:3: address: expected" in text
    assert f"{path}:6: caller_port: expected less than or equal to 65535" in text
    assert f"{path}:7: prots: expected no such key (unknown key)" in text


@pytest.mark.parametrize("text", ["a: [", "\t", "- 1\n- 2", "7", "a: 1\na: 2"])
def test_invalid_file_has_findings_with_its_path(write_settings, text):
    path = write_settings(text)
    assert read_findings(path)
    assert all(line.startswith(f"{path}:") for line in read_findings(path))


def test_duplicate_key_is_a_finding():
    document = parse_document("a:\n  b: 1\n  b: 2\n", "x.yaml")
    assert str(document.err_value[0]) == "x.yaml:3: a.b: expected each key only once"


def test_check_option_prints_findings_and_fails(write_settings):
    path = write_settings(VALID_SETTINGS + "more: 1\n")
    result = CliRunner().invoke(main, ["--settings", str(path), "--check"])
    assert result.exit_code == 2
    assert f"{path}:7: more: expected no such key" in result.output


def test_check_option_accepts_valid_settings(write_settings):
    result = CliRunner().invoke(
        main, ["--settings", str(write_settings(VALID_SETTINGS)), "--check"]
    )
    assert (result.exit_code, "no findings" in result.output) == (0, True)
