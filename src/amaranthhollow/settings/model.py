"""Settings of the daemon and of the operators' tool."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import AnyHttpUrl, Field, IPvAnyAddress, StringConstraints
from pydantic.dataclasses import dataclass
from result import Err, Result

from amaranthhollow.settings.checker import check_document
from amaranthhollow.settings.document import read_document
from amaranthhollow.settings.findings import Finding

__all__ = [
    "DaemonSettings",
    "Name",
    "OperatorSettings",
    "Statsd",
    "read_operator_settings",
    "read_settings",
]

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Port = Annotated[int, Field(ge=1, le=65535)]

_STRICT = {"extra": "forbid"}


@dataclass(frozen=True, config=_STRICT)
class Statsd:
    """IP address and UDP port of the statsd server that receives the counters."""

    address: IPvAnyAddress
    port: Port = 8125


@dataclass(frozen=True, config=_STRICT)
class DaemonSettings:
    """Settings of one daemon, read once at start.

    Ports must be the same on every host of a site, since a daemon gets only the
    address of a peer from the platform's host list.
    """

    host: Name
    data_centre: Name
    site: Name
    address: IPvAnyAddress
    key_value_service: AnyHttpUrl
    host_list: AnyHttpUrl
    caller_port: Port = 8080
    operator_port: Port = 8081
    peer_port: Port = 8082
    statsd: Statsd | None = None


def read_settings(path: Path) -> Result[DaemonSettings, tuple[Finding, ...]]:
    """Read and check the daemon settings file at ``path``."""
    document = read_document(path)
    if isinstance(document, Err):
        return document
    return check_document(document.ok_value, DaemonSettings)


@dataclass(frozen=True, config=_STRICT)
class OperatorSettings:
    """Settings of the operators' tool."""

    key_value_service: AnyHttpUrl
    host_list: AnyHttpUrl
    operator_port: Port = 8081


def read_operator_settings(
    path: Path,
) -> Result[OperatorSettings, tuple[Finding, ...]]:
    """Read and check the settings file of the operators' tool at ``path``."""
    document = read_document(path)
    if isinstance(document, Err):
        return document
    return check_document(document.ok_value, OperatorSettings)
