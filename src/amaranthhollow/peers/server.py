"""Serves the peer interface to other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import capnp
import msgspec

from amaranthhollow.decisions.claim_records import ClaimRecord
from amaranthhollow.decisions.gossip import GossipMessage
from amaranthhollow.peers.claim_replies import ClaimOutcome, ClaimReply
from amaranthhollow.peers.schema import PeerInterface
from amaranthhollow.peers.stream_tails import StreamTail, read_tail, tail_fields

if TYPE_CHECKING:
    from typing import Protocol

    class PeerHandler(Protocol):
        """Handles the calls of a daemon's peers."""

        def exchange(self, message: GossipMessage) -> GossipMessage:
            """Merge a gossip message and return the reply."""

        def configuration_body(self, change_id: str) -> bytes | None:
            """Return a cached configuration body, or None."""

        def stream_tail(self, key_digest: bytes, after_id: int) -> StreamTail | None:
            """Return the events of a stream after ``after_id``, or None."""

        def adopt_stream(self, key_digest: bytes, tail: StreamTail) -> None:
            """Keep the emitted events of a stream for a caller that reconnects."""

        async def claim(self, record: ClaimRecord, deadline: float) -> ClaimReply:
            """Claim a key on behalf of a peer."""

        def record_outcome(self, outcome: ClaimOutcome) -> None:
            """Record the outcome of a peer's claim."""

        def acquire_suspect_slot(self, host: str, request_digest: bytes) -> bool:
            """Acquire the slot of an endpoint for a suspected request, if free."""

        def release_suspect_slot(self, host: str, request_digest: bytes) -> None:
            """Release the slot of a suspected request at an endpoint."""


__all__ = ["serve_peers"]

_decoder = msgspec.msgpack.Decoder(GossipMessage)


class _PeerServer(PeerInterface.Server):
    """Decodes the calls of the schema and passes them to the handler."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def exchange(self, message: Any, _context: Any, **_: Any) -> bytes:
        reply = self._handler.exchange(_decoder.decode(bytes(message)))
        return msgspec.msgpack.encode(reply)

    async def fetchConfiguration_context(self, context: Any) -> None:  # noqa: N802
        change_id = context.params.changeId
        content = self._handler.configuration_body(change_id)
        if content is not None:
            context.results.body = {
                "found": True,
                "changeId": change_id,
                "content": content,
            }

    async def streamTail_context(self, context: Any) -> None:  # noqa: N802
        params = context.params
        tail = self._handler.stream_tail(bytes(params.keyDigest), params.afterId)
        context.results.tail = tail_fields(tail)

    async def adoptStream_context(self, context: Any) -> None:  # noqa: N802
        params = context.params
        self._handler.adopt_stream(bytes(params.keyDigest), read_tail(params.tail))

    async def claim(
        self, record: Any, deadline: float, _context: Any, **_: Any
    ) -> bytes:
        decoded = msgspec.msgpack.decode(bytes(record), type=ClaimRecord)
        reply = await self._handler.claim(decoded, deadline)
        return msgspec.msgpack.encode(reply)

    async def recordOutcome(  # noqa: N802
        self, outcome: Any, _context: Any, **_: Any
    ) -> None:
        decoded = msgspec.msgpack.decode(bytes(outcome), type=ClaimOutcome)
        self._handler.record_outcome(decoded)

    async def acquireSuspectSlot_context(self, context: Any) -> None:  # noqa: N802
        params = context.params
        context.results.isGranted = self._handler.acquire_suspect_slot(
            params.host, bytes(params.requestDigest)
        )

    async def releaseSuspectSlot_context(self, context: Any) -> None:  # noqa: N802
        params = context.params
        self._handler.release_suspect_slot(params.host, bytes(params.requestDigest))


async def serve_peers(handler: PeerHandler, address: str, port: int) -> Any:
    """Listen for peers; invalid Cap'n Proto closes only its own connection."""

    async def serve_connection(stream: Any) -> None:
        server = capnp.TwoPartyServer(stream, bootstrap=_PeerServer(handler))
        await server.on_disconnect()

    return await capnp.AsyncIoStream.create_server(serve_connection, address, port)
