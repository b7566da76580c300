"""Copies the emitted events of open streams to peers before a host is reclaimed."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from amaranthhollow.decisions.rendezvous import ranked
from amaranthhollow.peers.stream_tails import StreamTail, tail_fields

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.live_streams import LiveStream, StreamRegistry

__all__ = ["hand_over_streams"]

COPIES_PER_STREAM = 2


async def hand_over_streams(node: Node, streams: StreamRegistry) -> None:
    """Copy the events of every stream to the peers that rank first for its key.

    A caller that reconnects to any daemon with the key gets these events, and that
    daemon generates the rest of the stream.
    """
    await asyncio.gather(
        *(_hand_over(node, key, stream) for key, stream in streams.items())
    )


async def _hand_over(node: Node, key_digest: bytes, stream: LiveStream) -> None:
    stream.interrupt()
    tail = StreamTail(stream.prompt_tokens, False, list(stream.assembler.emitted))
    fields = tail_fields(tail)
    hosts = [h for h in node.membership.active_hosts if h != node.settings.host]
    for host in islice(ranked(key_digest.hex(), hosts), COPIES_PER_STREAM):
        info = node.membership.info(host)
        if info is not None:
            await node.links.call(
                info.address, lambda peer: peer.adoptStream(key_digest, fields)
            )
    node.counters.increment("streams.handed_over")
