"""Keeps suspected requests of all daemons apart at the endpoints."""

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
    """Hold the endpoint's slot if the request is a suspect; False if it is taken.

    The owner of the endpoint among the daemons keeps the slot. If it does not
    answer, the request runs: serving it goes before telling it apart.
    """
    if not node.quarantine.is_suspect(request_digest):
        yield True
        return
    host = endpoint.host
    keeper = owner(host, node.membership.active_hosts)
    if keeper in (None, node.settings.host):
        is_granted = node.suspect_slots.acquire(host, request_digest, node.now())
    else:
        reply = await _ask(
            node, keeper, lambda peer: peer.acquireSuspectSlot(host, request_digest)
        )
        is_granted = reply is None or reply.isGranted
    try:
        yield is_granted
    finally:
        if is_granted and keeper in (None, node.settings.host):
            node.suspect_slots.release(host, request_digest)
        elif is_granted:
            await _ask(
                node, keeper, lambda peer: peer.releaseSuspectSlot(host, request_digest)
            )


async def _ask(
    node: Node, host: str, method: Callable[[Any], Awaitable[Any]]
) -> Any | None:
    """Call a peer; None if it does not answer."""
    info = node.membership.info(host)
    if info is None:
        return None
    reply = await node.links.call(info.address, method)
    return None if isinstance(reply, Err) else reply.ok_value
