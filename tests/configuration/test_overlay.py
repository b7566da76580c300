"""Tests of merging overlays and of the findings in base and overlays."""

from __future__ import annotations

import pytest

from amaranthhollow.configuration.model import NonIdempotentCall, ServiceDeployment
from amaranthhollow.configuration.overlay import merge
from amaranthhollow.configuration.sources import read_sources

KEY = "a" * 64
BASE = f"""\
deployments:
  drafting:
    kind: model
    model: small
  filings:
    kind: service
workspaces:
  advisers:
    key_sha256: {KEY}
"""


@pytest.fixture
def write_sources(tmp_path):
    def write(base, **overlays):
        (tmp_path / "sites").mkdir(exist_ok=True)
        (tmp_path / "base.yaml").write_text(base)
        for site, text in overlays.items():
            (tmp_path / "sites" / f"{site}.yaml").write_text(text)
        return tmp_path

    return write


def findings(path):
    result = read_sources(path)
    return [str(finding) for finding in result.err_value] if result.is_err() else []


def test_merge_replaces_key_by_key_and_null_removes_a_key():
    base = {"a": {"x": 1, "y": 2}, "b": [1]}
    assert merge(base, {"a": {"y": None, "z": 3}, "b": [2]}) == {
        "a": {"x": 1, "z": 3},
        "b": [2],
    }


def test_valid_sources_have_no_findings(write_sources):
    assert findings(write_sources(BASE, north="requests: {max_tokens: 10}\n")) == []


def test_findings_of_base_and_overlays_are_reported_together(write_sources):
    path = write_sources(
        BASE + "oddity: 1\n",
        north="deployments:\n  drafting:\n    slots: none\n",
        south="workspaces:\n  others:\n    weight: -1\n",
    )
    text = "\n".join(findings(path))
    assert f"{path}/base.yaml:10: oddity: expected no such key" in text
    assert f"{path}/sites/north.yaml:3: deployments.drafting.slots: expected" in text
    assert f"{path}/sites/south.yaml:3: workspaces.others.weight: expected" in text
    assert f"{path}/sites/south.yaml:2: workspaces.others.key_sha256" in text


def test_two_workspaces_with_the_same_key_are_a_finding(write_sources):
    path = write_sources(BASE, north=f"workspaces:\n  b:\n    key_sha256: {KEY}\n")
    assert findings(path) == [
        f"{path}/sites/north.yaml:3: workspaces.b.key_sha256: expected a value that "
        "'advisers' does not already use"
    ]


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("POST", "/filings", True),
        ("POST", "/filings/7", True),
        ("POST", "/filings/", True),
        ("POST", "/filings-archive", False),
        ("GET", "/filings", False),
    ],
)
def test_non_idempotent_calls_match_at_path_segments(method, path, expected):
    calls = (NonIdempotentCall(method="POST", path="/filings"),)
    deployment = ServiceDeployment(kind="service", non_idempotent=calls)
    assert deployment.is_non_idempotent(method, path) is expected
