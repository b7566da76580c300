"""Finds streams at other daemons, for callers that resume them here."""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from result import Ok

from amaranthhollow.decisions.rendezvous import ranked
from amaranthhollow.gateway.live_streams import LiveStream
from amaranthhollow.peers.stream_tails import StreamTail, read_tail

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.live_streams import StreamRegistry

__all__ = ["StreamLookup"]

POLL_SECONDS = 0.05
MAX_PEERS_QUERIED = 16


class StreamLookup:
    """Queries peers for a stream and copies its events while a peer produces it."""

    def __init__(self, node: Node, streams: StreamRegistry) -> None:
        """Store the streams that are found in ``streams``."""
        self._node = node
        self._streams = streams
        self._tasks: set[asyncio.Task[None]] = set()

    async def find(self, key_digest: bytes) -> LiveStream | None:
        """Return the longest copy of a key's stream that peers have, or None.

        The stream has a producer only if that peer is still producing it.
        """
        membership = self._node.membership
        ranked_hosts = ranked(key_digest.hex(), membership.peers)
        peers = list(islice(ranked_hosts, MAX_PEERS_QUERIED))
        tails = await asyncio.gather(
            *(self._fetch_tail(p, key_digest, 0) for p in peers)
        )
        found = [
            (peer, tail)
            for peer, tail in zip(peers, tails, strict=True)
            if tail is not None
        ]
        if not found:
            return None
        peer, tail = max(found, key=lambda item: len(item[1].events))
        stream = LiveStream(tail.prompt_tokens)
        stream.replace_events(tail.events)
        self._streams.put(key_digest, stream)
        if tail.is_produced and not stream.is_ended:
            stream.attach_producer()
            task = asyncio.create_task(self._follow(peer, key_digest, stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return stream

    async def _follow(self, peer: str, key_digest: bytes, stream: LiveStream) -> None:
        """Copy events from the peer until the stream ends or is not found there."""
        while stream.is_in_progress:
            await asyncio.sleep(POLL_SECONDS)
            tail = await self._fetch_tail(peer, key_digest, stream.assembler.position)
            if tail is None:
                stream.detach_producer()
                return
            stream.replace_events(stream.assembler.emitted + tail.events)
            if not tail.is_produced:
                stream.detach_producer()

    async def _fetch_tail(
        self, peer: str, key_digest: bytes, after_id: int
    ) -> StreamTail | None:
        info = self._node.membership.info(peer)
        if info is None:
            return None
        reply = await self._node.links.call(
            info.address, lambda client: client.streamTail(key_digest, after_id)
        )
        if isinstance(reply, Ok) and reply.ok_value.tail.found:
            return read_tail(reply.ok_value.tail)
        return None
