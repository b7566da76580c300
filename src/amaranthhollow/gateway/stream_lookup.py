"""Finds a stream at another daemon, for a caller who reconnects here."""

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
MAX_PEERS_ASKED = 16


class StreamLookup:
    """Asks peers for a stream and follows it while they produce it."""

    def __init__(self, node: Node, streams: StreamRegistry) -> None:
        """Keep streams that were found in ``streams``."""
        self._node = node
        self._streams = streams
        self._tasks: set[asyncio.Task[None]] = set()

    async def find(self, key_digest: bytes) -> LiveStream | None:
        """Return the stream of a key as a peer holds it, or None.

        A stream that no daemon produces any more is returned without a producer.
        """
        membership = self._node.membership
        in_line = ranked(key_digest.hex(), membership.peers)
        peers = list(islice(in_line, MAX_PEERS_ASKED))
        tails = await asyncio.gather(*(self._tail(p, key_digest, 0) for p in peers))
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
            stream.begin()
            task = asyncio.create_task(self._follow(peer, key_digest, stream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return stream

    async def _follow(self, peer: str, key_digest: bytes, stream: LiveStream) -> None:
        """Copy events from the peer until the stream is complete or it is lost."""
        while stream.is_in_progress:
            await asyncio.sleep(POLL_SECONDS)
            tail = await self._tail(peer, key_digest, stream.assembler.position)
            if tail is None:
                stream.detach()
                return
            stream.replace_events(stream.assembler.emitted + tail.events)
            if not tail.is_produced:
                stream.detach()

    async def _tail(
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
