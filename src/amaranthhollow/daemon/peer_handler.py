"""Handles the calls of this daemon's peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.gateway.live_streams import LiveStream
from amaranthhollow.peers.claim_replies import build_claim_reply
from amaranthhollow.peers.stream_tails import StreamTail

if TYPE_CHECKING:
    from amaranthhollow.daemon.configuration_sync import ConfigurationSync
    from amaranthhollow.daemon.gossiper import Gossiper
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.claim_records import ClaimRecord
    from amaranthhollow.decisions.gossip import GossipMessage
    from amaranthhollow.gateway.live_streams import StreamRegistry
    from amaranthhollow.peers.claim_replies import ClaimOutcome, ClaimReply

__all__ = ["DaemonPeerHandler"]


class DaemonPeerHandler:
    """Passes the calls of peers to the parts of the daemon."""

    def __init__(
        self,
        gossiper: Gossiper,
        configuration_sync: ConfigurationSync,
        streams: StreamRegistry,
        node: Node,
    ) -> None:
        """Handle calls with these parts."""
        self._node = node
        self._gossiper = gossiper
        self._configuration_sync = configuration_sync
        self._streams = streams

    def exchange(self, message: GossipMessage) -> GossipMessage:
        """Merge a gossip message and return the reply."""
        return self._gossiper.receive(message)

    def configuration_body(self, change_id: str) -> bytes | None:
        """Return a cached configuration body, or None."""
        return self._configuration_sync.body(change_id)

    def stream_tail(self, key_digest: bytes, after_id: int) -> StreamTail | None:
        """Return the events of a stream after ``after_id``, or None."""
        stream = self._streams.get(key_digest)
        if stream is None or stream.problem is not None:
            return None
        return build_tail(stream, after_id)

    def adopt_stream(self, key_digest: bytes, tail: StreamTail) -> None:
        """Keep the emitted events of a stream for a caller that reconnects."""
        if self._streams.get(key_digest) is None:
            stream = LiveStream(tail.prompt_tokens)
            stream.replace_events(tail.events)
            self._streams.put(key_digest, stream)

    async def claim(self, record: ClaimRecord, deadline: float) -> ClaimReply:
        """Claim a key on behalf of a peer."""
        return build_claim_reply(await self._node.claim_store.claim(record, deadline))

    def record_outcome(self, outcome: ClaimOutcome) -> None:
        """Record the outcome of a peer's claim."""
        self._node.claim_store.store_outcome(outcome)

    def acquire_suspect_slot(self, host: str, request_digest: bytes) -> bool:
        """Acquire the slot of an endpoint for a suspected request, if free."""
        node = self._node
        return node.suspect_slots.acquire(host, request_digest, node.now())

    def release_suspect_slot(self, host: str, request_digest: bytes) -> None:
        """Release the slot of a suspected request at an endpoint."""
        self._node.suspect_slots.release(host, request_digest)


def build_tail(stream: LiveStream, after_id: int) -> StreamTail:
    """Return the events of ``stream`` after ``after_id``."""
    return StreamTail(
        prompt_tokens=stream.prompt_tokens,
        is_produced=stream.is_in_progress,
        events=stream.assembler.emitted[after_id:],
    )
