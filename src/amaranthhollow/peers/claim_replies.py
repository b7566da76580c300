"""Replies to claims and outcomes of claims, as sent between daemons."""

from __future__ import annotations

import msgspec

from amaranthhollow.decisions.claim_messages import (
    GrantClaim,
    RefusalReason,
    RefuseClaim,
    ReplayAnswer,
)
from amaranthhollow.decisions.claim_records import Answer, ClaimRecord, ClaimState

__all__ = [
    "ClaimOutcome",
    "ClaimReply",
    "ClaimResult",
    "build_claim_reply",
    "read_claim_reply",
]

ClaimResult = GrantClaim | RefuseClaim | ReplayAnswer


class ClaimReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a claim: granted, refused with a reason, or answered earlier.

    ``original`` is the record of the earlier claim, with its answer.
    """

    claim_id: str
    refusal: RefusalReason | None = None
    original: ClaimRecord | None = None


class ClaimOutcome(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a granted claim."""

    record: ClaimRecord
    state: ClaimState
    answer: Answer | None = None


def build_claim_reply(result: ClaimResult) -> ClaimReply:
    """Return the reply that carries ``result``."""
    match result:
        case GrantClaim(claim_id):
            return ClaimReply(claim_id)
        case RefuseClaim(claim_id, reason):
            return ClaimReply(claim_id, refusal=reason)
        case ReplayAnswer(claim_id, original):
            return ClaimReply(claim_id, original=original)


def read_claim_reply(reply: ClaimReply) -> ClaimResult:
    """Return the result that ``reply`` carries."""
    if reply.refusal is not None:
        return RefuseClaim(reply.claim_id, reply.refusal)
    if reply.original is not None:
        return ReplayAnswer(reply.claim_id, reply.original)
    return GrantClaim(reply.claim_id)
