"""MessagePack datagrams that hosts exchange several times a second.

Hosts of earlier versions exchange whole reports instead of changes, under the same
tags; the form of a message shows which it is. A struct may get further fields with
defaults at its end, which earlier versions skip.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from result import Ok

from amaranthhollow.decisions.gossip import GossipMessage
from amaranthhollow.decisions.peer_protocols import PeerProtocol
from amaranthhollow.decisions.reports import HostReport, ReportChanges
from amaranthhollow.decisions.stream_origins import StreamOrigin
from amaranthhollow.decoding import (
    MAX_NUMBER,
    Amount,
    Era,
    Label,
    Milliseconds,
    Number,
    decode_msgpack,
)

__all__ = [
    "RELEASED_LEASE_SECONDS",
    "Echo",
    "OriginQuery",
    "OriginReply",
    "Ping",
    "FreshnessReport",
    "ReportEcho",
    "ReportPing",
    "StreamMessage",
    "StreamStarted",
    "decode_datagram",
    "describe_form",
    "encode_datagram",
]

# Sent as ``holder_seconds`` for a lease that its holder has released.
RELEASED_LEASE_SECONDS = -1_000_000.0
MAX_TAG_LENGTH = 20


class FreshnessReport(msgspec.Struct, frozen=True, array_like=True):
    """Versions of the shared state at a host, and when they were confirmed as newest.

    An age is the seconds from the confirmation to the sending of the message, or
    negative if the version was never confirmed. ``holder`` is the host that performs
    the duties; its lease expires in ``holder_seconds``, or has been released if that
    is ``RELEASED_LEASE_SECONDS``. ``store_era`` is the newest era of the store that
    the host has seen, ``endpoints_era`` the one of ``endpoints_revision``. Reads of the
    endpoint entries have had no gap for ``steady_seconds``, or -1 before the first one.
    """

    configuration_version: Annotated[int, msgspec.Meta(ge=-1, le=MAX_NUMBER)]
    configuration_age: Amount
    endpoints_revision: Number
    endpoints_fingerprint: int
    endpoints_age: Amount
    holder: Label = ""
    fencing_token: Number = 0
    holder_seconds: Amount = 0.0
    store_era: Era = 0
    endpoints_era: Era = 0
    steady_seconds: Amount = -1.0


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Request for an :class:`Echo`, which repeats ``nonce``.

    ``digest`` gives the versions of reports that ``host`` knows, by process key.
    """

    nonce: int
    host: Label
    incarnation: Milliseconds
    gossip: GossipMessage
    digest: dict[int, Number]


class Echo(msgspec.Struct, frozen=True, array_like=True, tag="echo"):
    """Reply to a :class:`Ping`; ``wall_time`` is the sender's, in Unix seconds.

    ``changes`` are those of all hosts' reports since the versions of the ping's digest.
    ``quota_levels`` are the levels of the sender's quotas by workspace, for a host
    that has just started; None if it has not, or if the sender does not know them.
    """

    nonce: int
    host: Label
    incarnation: Milliseconds
    gossip: GossipMessage
    changes: tuple[ReportChanges, ...]
    freshness: FreshnessReport
    wall_time: Amount
    quota_levels: dict[Label, Amount] | None = None


class ReportPing(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """A :class:`Ping` to a host that is not known to read it, with a whole report.

    ``protocol`` is the one that the sender prefers, if it is of a later version.
    """

    nonce: int
    host: Label
    incarnation: Milliseconds
    gossip: GossipMessage
    report: HostReport
    protocol: Number = PeerProtocol.WHOLE_REPORTS


class ReportEcho(msgspec.Struct, frozen=True, array_like=True, tag="echo"):
    """Reply to a :class:`ReportPing` of a host that reads no :class:`Echo`."""

    nonce: int
    host: Label
    incarnation: Milliseconds
    gossip: GossipMessage
    report: HostReport
    freshness: FreshnessReport
    wall_time: Amount
    quota_levels: dict[Label, Amount] | None = None


class StreamStarted(msgspec.Struct, frozen=True, array_like=True, tag="stream"):
    """Where the stream that ``request_id`` began has its origin."""

    request_id: str
    origin: StreamOrigin


class OriginQuery(msgspec.Struct, frozen=True, array_like=True, tag="origin?"):
    """Question of ``host`` for the origin of a stream that ``request_id`` began.

    Also for the software versions that ``service`` has had since ``since``, in Unix
    seconds. The :class:`OriginReply` repeats ``nonce``.
    """

    nonce: int
    host: Label
    request_id: str
    service: Label
    since: Amount


class OriginReply(msgspec.Struct, frozen=True, array_like=True, tag="origin"):
    """Reply of ``host`` to an :class:`OriginQuery`.

    ``software_version`` is None if it does not know the stream. ``seen_versions`` are
    those that the service has had, all of them if ``is_complete``.
    """

    nonce: int
    host: Label
    software_version: Label | None
    seen_versions: tuple[Label, ...]
    is_complete: bool


StreamMessage = StreamStarted | OriginQuery | OriginReply


Datagram = Ping | Echo | ReportPing | ReportEcho | StreamMessage


def encode_datagram(message: Datagram) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_datagram(data: bytes) -> Datagram | None:
    """Decode a message; return None if ``data`` is not one."""
    for form in (Ping | Echo | StreamMessage, ReportPing | ReportEcho):
        match decode_msgpack(data, form):
            case Ok(message):
                return message
    return None


def describe_form(data: bytes) -> str:
    """Return the tag and the number of fields of a message that cannot be read.

    ``describe_form(msgspec.msgpack.encode(["later", 5]))`` is ``"later of 2"``.
    """
    try:
        match msgspec.msgpack.decode(data):
            case [str() as tag, *rest]:
                return f"{tag[:MAX_TAG_LENGTH]} of {1 + len(rest)}"
    except (msgspec.DecodeError, ValueError, RecursionError):
        pass
    return "no message"
