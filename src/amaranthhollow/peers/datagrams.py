"""What hosts tell each other several times a second, in datagrams of MessagePack."""

from __future__ import annotations

import msgspec

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.gossip import GossipMessage

__all__ = [
    "RELEASED_LEASE_SECONDS",
    "Echo",
    "HostReport",
    "Ping",
    "FreshnessReport",
    "decode_datagram",
    "encode_datagram",
]

# The seconds that a released lease still lasts, on the wire.
RELEASED_LEASE_SECONDS = -1_000_000.0


class HostReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host alone knows; all counts are cumulative.

    ``usage`` is by window and workspace, ``spent`` by workspace, and ``loads`` gives
    requests and pending prompt tokens by endpoint.
    """

    usage: dict[int, dict[str, int]]
    spent: dict[str, float]
    loads: dict[str, EndpointLoad]


class FreshnessReport(msgspec.Struct, frozen=True, array_like=True):
    """What a host holds, and how old its proof is that it is the newest.

    Ages are in seconds when the message was sent; negative if there is no proof.
    ``holder`` has the duties, under a lease that lasts ``holder_seconds`` more, or
    has released them.
    """

    configuration_version: int
    configuration_age: float
    endpoints_revision: int
    endpoints_fingerprint: int
    endpoints_age: float
    holder: str = ""
    fencing_token: int = 0
    holder_seconds: float = 0.0


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks a host for its :class:`Echo`; ``nonce`` is repeated there."""

    nonce: int
    host: str
    incarnation: int
    gossip: GossipMessage
    report: HostReport


class Echo(msgspec.Struct, frozen=True, array_like=True, tag="echo"):
    """Answers a :class:`Ping`; ``wall_time`` is the sender's, since 1970 in seconds."""

    nonce: int
    host: str
    incarnation: int
    gossip: GossipMessage
    report: HostReport
    freshness: FreshnessReport
    wall_time: float


def encode_datagram(message: Ping | Echo) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_datagram(data: bytes) -> Ping | Echo | None:
    """Decode a message; None if it is none."""
    try:
        return msgspec.msgpack.decode(data, type=Ping | Echo)
    except (msgspec.DecodeError, ValueError):
        return None
