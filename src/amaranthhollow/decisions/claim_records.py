"""Claim records of non-idempotent requests, as stored in the key-value service."""

from __future__ import annotations

from enum import IntEnum
from hashlib import blake2b

import msgspec

__all__ = [
    "SHARD_COUNT",
    "Answer",
    "ClaimHead",
    "ClaimRecord",
    "ClaimState",
    "Segment",
    "SegmentReference",
    "decode_head",
    "decode_segment",
    "digest",
    "encode_head",
    "encode_segment",
    "shard_of",
]

SHARD_COUNT = 8
DIGEST_BYTES = 16
SUPERSEDING_SUFFIX = "+"


class ClaimState(IntEnum):
    """State of a claimed request."""

    CLAIMED = 0
    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of an endpoint, kept for callers that repeat an idempotency key.

    If ``stored_separately`` is true, ``body`` is empty here and is stored under a
    key of its own, named by the claim's identifier.
    """

    status: int
    content_type: str
    body: bytes
    stored_separately: bool = False


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim on an idempotency key.

    ``key_digest`` covers workspace, service and key; ``request_digest`` covers
    method, path, query and body. Times are in seconds since the Unix epoch.

    ``supersedes`` names an earlier claim that the same daemon forwarded to the
    shard's owner without getting an answer. The daemon never sends the request
    under that claim, so this one may replace it, whatever the owner decides.
    """

    key_digest: bytes
    request_digest: bytes
    claim_id: str
    expires_at: float
    state: ClaimState = ClaimState.CLAIMED
    answer: Answer | None = None
    supersedes: str = ""

    @property
    def superseded_claim(self) -> ClaimRecord | None:
        """The claim that this one replaces, if any."""
        if not self.supersedes:
            return None
        return msgspec.structs.replace(self, claim_id=self.supersedes, supersedes="")

    def make_superseding_claim(self) -> ClaimRecord:
        """Return the claim to make if the shard's owner did not answer this one."""
        claim_id = f"{self.claim_id}{SUPERSEDING_SUFFIX}"
        return msgspec.structs.replace(
            self, claim_id=claim_id, supersedes=self.claim_id
        )

    @property
    def is_claimable(self) -> bool:
        """Whether the key may be claimed again: its last request was not run."""
        return self.state is ClaimState.NOT_RUN


class SegmentReference(msgspec.Struct, frozen=True, array_like=True):
    """Reference to an immutable segment, with the time when its last record expires."""

    segment_id: str
    expires_at: float


class ClaimHead(msgspec.Struct, frozen=True, array_like=True):
    """The mutable value of a shard: recent records, newest last, and segments."""

    records: tuple[ClaimRecord, ...] = ()
    segments: tuple[SegmentReference, ...] = ()


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Older records of a shard; immutable once written."""

    records: tuple[ClaimRecord, ...]


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(ClaimHead)
_segment_decoder = msgspec.msgpack.Decoder(Segment)


def encode_head(head: ClaimHead) -> bytes:
    """Return ``head`` as MessagePack."""
    return _encoder.encode(head)


def decode_head(value: bytes) -> ClaimHead:
    """Decode a head; raises ``msgspec.DecodeError`` if ``value`` is not one."""
    return _head_decoder.decode(value)


def encode_segment(segment: Segment) -> bytes:
    """Return ``segment`` as MessagePack."""
    return _encoder.encode(segment)


def decode_segment(value: bytes) -> Segment:
    """Decode a segment; raises ``msgspec.DecodeError`` if ``value`` is not one."""
    return _segment_decoder.decode(value)


def digest(*parts: str | bytes) -> bytes:
    """Return a digest of ``parts``, each prefixed with its length."""
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.digest()


def shard_of(key_digest: bytes) -> int:
    """Return the number of the shard that holds the claims on a key."""
    return int.from_bytes(key_digest[:4], "big") % SHARD_COUNT
