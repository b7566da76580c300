"""Tells daemons of an accepted revision, so that it spreads without the service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from result import Err

from amaranthhollow.decisions.configuration import AcceptedRevision, encode_json

if TYPE_CHECKING:
    from amaranthhollow.cli.context import Clients
    from amaranthhollow.decisions.configuration import HeadEntry, RevisionBody

__all__ = ["Told", "tell_daemons"]

CALL_TIMEOUT_SECONDS = 1.0
MAX_DAEMONS_TOLD = 16


@dataclass(frozen=True)
class Told:
    """How many daemons were asked to take the revision, and how many did."""

    asked: int
    answered: int


async def tell_daemons(clients: Clients, entry: HeadEntry, body: RevisionBody) -> Told:
    """Send an accepted revision to some daemons; the others learn by gossip."""
    listing = await clients.host_list.read()
    if isinstance(listing, Err):
        return Told(0, 0)
    hosts = [host for host in listing.ok_value.hosts if host.role == "entry"]
    chosen = hosts[:MAX_DAEMONS_TOLD]
    content = msgspec.json.encode(AcceptedRevision(entry, encode_json(body)))
    port = clients.settings.operator_port
    answers = await asyncio.gather(
        *(
            _tell(clients.session, f"http://{host.address}:{port}/revision", content)
            for host in chosen
        )
    )
    return Told(len(chosen), sum(answers))


async def _tell(session: aiohttp.ClientSession, url: str, content: bytes) -> bool:
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
    try:
        async with session.post(url, data=content, timeout=timeout) as response:
            return response.status == 202
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
