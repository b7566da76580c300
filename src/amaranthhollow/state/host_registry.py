"""The entry hosts of a site, as each has registered itself in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok

from amaranthhollow.decisions.membership import DaemonInfo
from amaranthhollow.decoding import (
    Label,
    Milliseconds,
    Number,
    decode_msgpack,
    is_host_address,
)
from amaranthhollow.platform.names import SYSTEM_KEY_PREFIX

if TYPE_CHECKING:
    from amaranthhollow.platform.store import Snapshot

__all__ = ["HOSTS_PREFIX", "RegisteredHost", "decode_hosts"]

HOSTS_PREFIX = f"{SYSTEM_KEY_PREFIX}hosts/"


class RegisteredHost(DaemonInfo, frozen=True, array_like=True):
    """A host's entry in the store; gossip carries its first three fields only.

    Hosts of earlier versions do not write ``incarnation``, ``build`` and ``protocol``,
    and skip them.
    """

    incarnation: Milliseconds = 0
    build: Label = ""
    protocol: Number = 0


def decode_hosts(
    snapshot: Snapshot,
) -> tuple[dict[str, RegisteredHost], dict[str, str]]:
    """Return the registered hosts, and why entries are unreadable, by host."""
    hosts_by_name, errors_by_name = {}, {}
    for item in snapshot.items:
        name = item.key.removeprefix(HOSTS_PREFIX)
        match decode_msgpack(item.value, RegisteredHost):
            case Ok(host) if is_host_address(host.address):
                hosts_by_name[name] = host
            case Ok(_):
                errors_by_name[name] = "`address` is no IP address of a host"
            case Err(error):
                errors_by_name[name] = error
    return hosts_by_name, errors_by_name
