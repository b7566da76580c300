"""Limits each endpoint to one suspected request at a time, across daemons."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from result import Err

from amaranthhollow.decisions.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.endpoints import Endpoint

__all__ = ["suspect_slot"]


@asynccontextmanager
async def suspect_slot(
    node: Node, endpoint: Endpoint, request_digest: bytes
) -> AsyncIterator[bool]:
    """Hold the endpoint's slot while a suspect runs; yield False if it is held.

    The daemon that owns the endpoint manages the slot. If that daemon is unreachable,
    the request runs without the slot: availability takes precedence over identifying
    the request that causes a crash.
    """
    if not node.quarantine.is_suspect(request_digest):
        yield True
        return
    host = endpoint.host
    owner_host = owner(host, node.membership.active_hosts)
    if owner_host in (None, node.settings.host):
        is_granted = node.suspect_slots.acquire(host, request_digest, node.now())
    else:
        reply = await _call_peer(
            node, owner_host, lambda peer: peer.acquireSuspectSlot(host, request_digest)
        )
        is_granted = reply is None or reply.isGranted
    try:
        yield is_granted
    finally:
        if is_granted and owner_host in (None, node.settings.host):
            node.suspect_slots.release(host, request_digest)
        elif is_granted:
            await _call_peer(
                node,
                owner_host,
                lambda peer: peer.releaseSuspectSlot(host, request_digest),
            )


async def _call_peer(
    node: Node, host: str, method: Callable[[Any], Awaitable[Any]]
) -> Any | None:
    """Call a peer; return None if it is unknown or unreachable."""
    info = node.membership.info(host)
    if info is None:
        return None
    reply = await node.links.call(info.address, method)
    return None if isinstance(reply, Err) else reply.ok_value
