"""Tests that only the adapter contains header, call and key names of the platform."""

from __future__ import annotations

import re
from pathlib import Path

import amaranthhollow

SOURCE = Path(amaranthhollow.__file__).parent
WIRE_NAMES = re.compile(
    r"x-(request-id|server-stamp|expect-|not-run|duty-holder|fence-token|token-count"
    r"|prefix-hash|deadline-ms|kv-backup|engine-load|pin-ms|hold|tenant|model\b"
    r"|instance-id|weight-versions|length-hint|request-priority)"
    r"|\bkv-(from|fetch|txn|watch|range|move|key|keep|lease|events|list|handle|pin)"
    r"|op/config|\bservers/|weighted_backends|api_keys|route_type|spot_price"
    r"|desired_count|window_id|expected_rev\b|server-(limit|brittle)",
    re.IGNORECASE,
)


def test_only_the_adapter_contains_wire_names():
    found = [
        f"{path.relative_to(SOURCE)}:{number}: {line.strip()}"
        for path in sorted(SOURCE.rglob("*.py"))
        if "platform" not in path.relative_to(SOURCE).parts
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if WIRE_NAMES.search(line)
    ]

    assert found == []
