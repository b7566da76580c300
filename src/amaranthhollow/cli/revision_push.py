"""Pushes an accepted revision to daemons, so that it spreads if the service fails."""

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

__all__ = ["PushResult", "push_revision"]

REQUEST_TIMEOUT_SECONDS = 1.0
MAX_PUSH_TARGETS = 16


@dataclass(frozen=True)
class PushResult:
    """To how many daemons a revision was sent, and how many accepted it."""

    sent_count: int
    accepted_count: int


async def push_revision(
    clients: Clients, entry: HeadEntry, body: RevisionBody
) -> PushResult:
    """Send an accepted revision to some daemons; gossip spreads it to the others."""
    listing = await clients.host_list.read()
    if isinstance(listing, Err):
        return PushResult(0, 0)
    hosts = [host for host in listing.ok_value.hosts if host.role == "entry"]
    chosen = hosts[:MAX_PUSH_TARGETS]
    content = msgspec.json.encode(AcceptedRevision(entry, encode_json(body)))
    port = clients.settings.operator_port
    results = await asyncio.gather(
        *(
            _push(clients.session, f"http://{host.address}:{port}/revision", content)
            for host in chosen
        )
    )
    return PushResult(len(chosen), sum(results))


async def _push(session: aiohttp.ClientSession, url: str, content: bytes) -> bool:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    try:
        async with session.post(url, data=content, timeout=timeout) as response:
            return response.status == 202
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
