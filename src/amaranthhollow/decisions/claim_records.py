"""Claim records: what the key-value service holds about non-idempotent requests."""

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
    """What is known of a claimed request."""

    CLAIMED = 0
    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3


class Answer(msgspec.Struct, frozen=True, array_like=True):
    """The answer of an endpoint, kept for callers who repeat their key.

    ``stored_separately`` says that ``body`` is empty here and lies in a value
    of its own, named by the claim's identifier.
    """

    status: int
    content_type: str
    body: bytes
    stored_separately: bool = False


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """One claim on an idempotency key.

    ``key_digest`` covers workspace, service and key; ``request_digest`` covers
    method, path, query and body. Instants are seconds since the Unix epoch.

    ``supersedes`` names a claim that the same daemon had asked the shard's owner
    for, without an answer. It will never send the request under that claim, so this
    one may take its place; what the owner does with the other one is of no effect.
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
        """The claim that this one takes the place of, if there is one."""
        if not self.supersedes:
            return None
        return msgspec.structs.replace(self, claim_id=self.supersedes, supersedes="")

    def make_superseding_claim(self) -> ClaimRecord:
        """Return the claim to make when the owner did not answer this one."""
        claim_id = f"{self.claim_id}{SUPERSEDING_SUFFIX}"
        return msgspec.structs.replace(
            self, claim_id=claim_id, supersedes=self.claim_id
        )

    @property
    def is_open_for_claim(self) -> bool:
        """Tell whether the key may be claimed anew: its last claim never ran."""
        return self.state is ClaimState.NOT_RUN


class SegmentReference(msgspec.Struct, frozen=True, array_like=True):
    """Names an immutable segment of older records and when all of it expires."""

    segment_id: str
    expires_at: float


class ClaimHead(msgspec.Struct, frozen=True, array_like=True):
    """The mutable value of a shard: its recent records, newest last."""

    records: tuple[ClaimRecord, ...] = ()
    segments: tuple[SegmentReference, ...] = ()


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Older records of a shard, written once and never changed."""

    records: tuple[ClaimRecord, ...]


_encoder = msgspec.msgpack.Encoder()
_head_decoder = msgspec.msgpack.Decoder(ClaimHead)
_segment_decoder = msgspec.msgpack.Decoder(Segment)


def encode_head(head: ClaimHead) -> bytes:
    """Return ``head`` as MessagePack."""
    return _encoder.encode(head)


def decode_head(value: bytes) -> ClaimHead:
    """Read a head; raises ``msgspec.DecodeError`` if ``value`` is not one."""
    return _head_decoder.decode(value)


def encode_segment(segment: Segment) -> bytes:
    """Return ``segment`` as MessagePack."""
    return _encoder.encode(segment)


def decode_segment(value: bytes) -> Segment:
    """Read a segment; raises ``msgspec.DecodeError`` if ``value`` is not one."""
    return _segment_decoder.decode(value)


def digest(*parts: str | bytes) -> bytes:
    """Return a digest of ``parts`` in which their boundaries count."""
    hasher = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(len(data).to_bytes(8, "big"))
        hasher.update(data)
    return hasher.digest()


def shard_of(key_digest: bytes) -> int:
    """Return the shard that holds the claims on a key."""
    return int.from_bytes(key_digest[:4], "big") % SHARD_COUNT
