"""Reads an entry host's settings."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Annotated

import msgspec
from result import Ok, Result

if TYPE_CHECKING:
    from pathlib import Path

    from amaranthhollow.settings.findings import Finding

__all__ = ["Bounds", "EntrySettings", "PortRange", "is_address", "read_entry_settings"]


class PortRange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The ports from ``first`` to ``last``, inclusive, for traffic between hosts."""

    first: int
    last: int

    @property
    def relay(self) -> int:
        """The port at which hosts relay connections to endpoints."""
        return self.first + 1


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that the site sets for the daemon; in seconds unless named otherwise.

    Of all requests to a service during a roll-out, a bad version may get
    ``expose_share`` and ``expose_slack`` more, and none later than ``rollback_ms``
    after it has shown that it is bad. Without all three, no version is treated
    differently.
    """

    key_removal_ms: float
    lease_ms: float
    shutdown: float
    usage_window: float
    usage_due: float
    repeat_ratio: float
    repeat_slack: float
    repeat_window: float
    quota_over: float = 0.0
    quota_slack: float = 0.0
    quota_window: float = float("inf")
    expose_share: Annotated[float, msgspec.Meta(gt=0, le=1)] | None = None
    expose_slack: Annotated[float, msgspec.Meta(ge=0, le=100_000)] | None = None
    rollback_ms: Annotated[float, msgspec.Meta(gt=0)] | None = None


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one daemon; addresses are ``IP:PORT``."""

    host: str
    data_centre: str
    address: str
    callers: str
    readiness: str
    metrics_port: int
    store: str
    cloud: str
    peer_ports: PortRange
    bounds: Bounds
    is_first_start: bool = False
    max_descriptors: Annotated[int, msgspec.Meta(gt=0)] | None = None
    max_memory_mb: Annotated[int, msgspec.Meta(gt=0)] | None = None


def read_entry_settings(
    path: Path,
) -> Result[EntrySettings, tuple[Finding, ...]]:
    """Read and check the settings file at ``path``, or return all findings.

    The file is YAML. Valid settings in the syntax of JSON, a subset of YAML, are read
    without the YAML parser, which takes longer to load than all else that reads them.
    """
    settings = _read_json(path)
    if settings is not None:
        return Ok(settings)
    from amaranthhollow.entry.settings_findings import read_checked_settings

    return read_checked_settings(path)


def is_address(text: str) -> bool:
    """Return whether ``text`` is ``IP:PORT``."""
    address, _, port = text.rpartition(":")
    return bool(address) and port.isdigit() and 0 < int(port) < 65536


def _read_json(path: Path) -> EntrySettings | None:
    """Return the settings, or None if they are not valid JSON or have a finding."""
    try:
        value = json.loads(path.read_bytes(), object_pairs_hook=_without_duplicates)
        settings = msgspec.convert(value, EntrySettings)
    except (OSError, ValueError):
        return None
    addresses = (settings.callers, settings.readiness, settings.store, settings.cloud)
    return settings if all(map(is_address, addresses)) else None


def _without_duplicates(pairs: list[tuple[str, object]]) -> dict[str, object]:
    if len(dict(pairs)) != len(pairs):
        raise ValueError("a key occurs twice")
    return dict(pairs)
