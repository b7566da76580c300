"""Forwards claims to the owner of their shard, or claims locally if it fails.

Each daemon derives a shard's owner from its own view of the members. Two daemons may
both consider themselves the owner. The compare-and-swap of the key-value service then
decides between their writes, so ownership is only needed to avoid conflicts.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.claim_messages import (
    GrantClaim,
    RefusalReason,
    RefuseClaim,
)
from amaranthhollow.decisions.claim_records import shard_of
from amaranthhollow.decisions.rendezvous import owner
from amaranthhollow.peers.claim_replies import (
    ClaimOutcome,
    ClaimReply,
    read_claim_reply,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.decisions.claim_records import (
        Answer,
        ClaimRecord,
        ClaimState,
    )
    from amaranthhollow.decisions.membership import Membership
    from amaranthhollow.peers.claim_replies import ClaimResult
    from amaranthhollow.peers.links import PeerLinks
    from amaranthhollow.state.claim_store import ClaimStore

__all__ = ["ClaimRouter"]

OWNER_TIMEOUT_SECONDS = 0.5
OUTCOME_TIMEOUT_SECONDS = 1.0
REPORT_WAIT_SECONDS = 0.05


class ClaimRouter:
    """Claims keys through the owners of their shards."""

    def __init__(
        self,
        host: str,
        store: ClaimStore,
        membership: Membership,
        links: PeerLinks,
        clock: Callable[[], float],
    ) -> None:
        """Claim on behalf of the daemon on ``host``."""
        self._host = host
        self._store = store
        self._membership = membership
        self._links = links
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def pending_report_count(self) -> int:
        """Number of outcomes that are being reported."""
        return len(self._tasks)

    async def claim(self, record: ClaimRecord, deadline: float) -> ClaimResult:
        """Claim a key; the request may be sent only if the result is GrantClaim.

        If the owner fails or withdraws, the key is claimed locally with a new claim
        identifier, which supersedes the forwarded claim. A late action of the owner
        on the forwarded claim therefore cannot end the local one.
        """
        address = self._owner_address(record)
        if address is None:
            return await self._store.claim(record, deadline)
        content = msgspec.msgpack.encode(record)
        seconds_left = max(0.0, deadline - self._clock())
        reply = await self._links.call(
            address,
            lambda peer: peer.claim(content, deadline),
            min(OWNER_TIMEOUT_SECONDS, seconds_left),
        )
        result = _decode(reply)
        if isinstance(result, Ok) and not _is_withdrawn(result.ok_value):
            if isinstance(result.ok_value, GrantClaim):
                self._store.hold(record)
            return result.ok_value
        return await self._store.claim(record.make_superseding_claim(), deadline)

    async def report_outcome(
        self, record: ClaimRecord, state: ClaimState, answer: Answer | None = None
    ) -> None:
        """Record the outcome of a granted claim.

        Waits until the owner has received the outcome, so that a repeated request gets
        the answer, but for at most ``REPORT_WAIT_SECONDS``. After that the outcome is
        recorded in the background.
        """
        task = asyncio.get_running_loop().create_task(
            self._send_outcome(ClaimOutcome(record, state, answer))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait({task}, timeout=REPORT_WAIT_SECONDS)

    async def _send_outcome(self, outcome: ClaimOutcome) -> None:
        prepared = await self._store.store_large_answer(outcome)
        address = self._owner_address(outcome.record)
        if address is not None:
            content = msgspec.msgpack.encode(prepared)
            reply = await self._links.call(
                address,
                lambda peer: peer.recordOutcome(content),
                OUTCOME_TIMEOUT_SECONDS,
            )
            if isinstance(reply, Ok):
                self._store.hold(
                    msgspec.structs.replace(
                        outcome.record, state=outcome.state, answer=prepared.answer
                    )
                )
                return
        self._store.store_outcome(prepared)

    def _owner_address(self, record: ClaimRecord) -> str | None:
        """Return the address of the shard's owner, or None to claim locally."""
        name = f"shard-{shard_of(record.key_digest)}"
        host = owner(name, self._membership.active_hosts)
        if host is None or host == self._host:
            return None
        info = self._membership.info(host)
        return info.address if info is not None else None


def _decode(reply: Result) -> Result[ClaimResult, str]:
    if isinstance(reply, Err):
        return reply
    content = bytes(reply.ok_value.reply)
    return Ok(read_claim_reply(msgspec.msgpack.decode(content, type=ClaimReply)))


def _is_withdrawn(result: ClaimResult) -> bool:
    """Return whether the owner withdrew the claim, so that it can be made locally."""
    return isinstance(result, RefuseClaim) and result.reason is RefusalReason.WITHDRAWN
