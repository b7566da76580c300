"""Stores claims on idempotency keys in the key-value service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.claim_messages import (
    Action,
    ClaimHeld,
    ClaimRequested,
    ClaimWithdrawn,
    DeleteAnswer,
    DeleteSegment,
    Event,
    GrantClaim,
    HeadLoaded,
    LoadHead,
    LoadSegments,
    OutcomeDurable,
    OutcomeReported,
    RefusalReason,
    RefuseClaim,
    ReplayAnswer,
    RetryDue,
    ScheduleRetry,
    SegmentsLoaded,
    SegmentWritten,
    ServiceFailed,
    StoreRestored,
    WriteConflicted,
    WriteHead,
    WriteSegment,
    WriteSucceeded,
    WriteUncertain,
)
from amaranthhollow.decisions.claim_records import (
    Answer,
    ClaimHead,
    ClaimRecord,
    decode_head,
    decode_segment,
    encode_head,
    encode_segment,
    shard_of,
)
from amaranthhollow.decisions.claim_restoration import mark_restored
from amaranthhollow.decisions.claim_state import ShardState, count_unwritten
from amaranthhollow.decisions.claims import step
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.http_client import CallFailure

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.peers.claim_replies import ClaimOutcome, ClaimResult
    from amaranthhollow.platform.store import StoreClient
    from amaranthhollow.serving.http_client import CallError

__all__ = ["ClaimStore"]

CLAIM_TIMEOUT_SECONDS = 2.0
MAX_INLINE_ANSWER_BYTES = 2048
MAX_STORED_ANSWER_BYTES = 900_000
KEY_PREFIX = "amaranthhollow/claims"

log = logbook.Logger("claims")


class ClaimStore:
    """Executes the actions of the claim state machines, one per shard.

    Each action calls the key-value service or answers a waiting claim; the result
    of a call is the next event of the shard's state machine.
    """

    def __init__(self, store: StoreClient, clock: Callable[[], float]) -> None:
        """Use the service through ``store``; ``clock`` returns Unix seconds."""
        self._store = store
        self._clock = clock
        self._initial_state = ShardState()
        self._states_by_shard: dict[int, ShardState] = {}
        self._results_by_claim_id: dict[str, asyncio.Future[ClaimResult]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        store.add_restore_listener(self._store_restored)

    @property
    def unfinished_count(self) -> int:
        """Number of claims and outcomes not stored yet, and of calls in progress."""
        return count_unwritten(self._states_by_shard.values()) + len(self._tasks)

    def shard_state(self, shard: int) -> ShardState:
        """Return the state of a shard's writer."""
        return self._states_by_shard.get(shard, self._initial_state)

    async def claim(self, record: ClaimRecord, deadline: float) -> ClaimResult:
        """Claim a key; the request may be sent only if the result is GrantClaim.

        Refuses the claim if the service does not respond by ``deadline``, in Unix
        seconds, or within ``CLAIM_TIMEOUT_SECONDS``.
        """
        future: asyncio.Future[ClaimResult]
        future = asyncio.get_running_loop().create_future()
        self._results_by_claim_id[record.claim_id] = future
        shard = shard_of(record.key_digest)
        self._apply_event(shard, ClaimRequested(record))
        timeout = max(0.0, min(CLAIM_TIMEOUT_SECONDS, deadline - self._clock()))
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            self._apply_event(shard, ClaimWithdrawn(record))
            return RefuseClaim(record.claim_id, RefusalReason.SERVICE_UNAVAILABLE)
        except asyncio.CancelledError:
            self._apply_event(shard, ClaimWithdrawn(record))
            raise
        finally:
            self._results_by_claim_id.pop(record.claim_id, None)

    def store_outcome(self, outcome: ClaimOutcome) -> None:
        """Store the outcome of a granted claim.

        Pass the outcome through :meth:`store_large_answer` first.
        """
        event = OutcomeReported(outcome.record, outcome.state, outcome.answer)
        self._apply_event(shard_of(outcome.record.key_digest), event)

    def hold(self, record: ClaimRecord) -> None:
        """Keep a record that another daemon made durable, in case the store loses it.

        Pass a claim before its request is sent, and its record with the outcome later.
        """
        self._apply_event(shard_of(record.key_digest), ClaimHeld(record))

    async def store_large_answer(self, outcome: ClaimOutcome) -> ClaimOutcome:
        """Store a large answer under its own key and return the outcome without it.

        A small answer stays in the outcome. The body of a large one is left out, or
        the answer as a whole if it cannot be stored.
        """
        answer = outcome.answer
        if answer is None or len(answer.body) <= MAX_INLINE_ANSWER_BYTES:
            return outcome
        stored = await self._store_answer(outcome.record, answer)
        return msgspec.structs.replace(outcome, answer=stored)

    async def recorded_answer(self, original: ClaimRecord) -> Result[Answer, str]:
        """Return the stored answer of a claim, or the reason why there is none."""
        answer = original.answer
        if answer is None:
            return Err("no answer was recorded")
        if not answer.stored_separately:
            return Ok(answer)
        found = await self._store.get(_answer_key(original.claim_id))
        if isinstance(found, Err):
            return Err(found.err_value.detail)
        if found.ok_value is None:
            return Err("the recorded answer has expired")
        return Ok(msgspec.structs.replace(answer, body=found.ok_value.value))

    async def _store_answer(self, record: ClaimRecord, answer: Answer) -> Answer | None:
        """Store a large answer under its own key; None if it cannot be stored."""
        if len(answer.body) > MAX_STORED_ANSWER_BYTES:
            return None
        key = _answer_key(record.claim_id)
        stored = await self._store.change({key: None}, (Write(key, answer.body),))
        if isinstance(stored, Err):
            return None
        return msgspec.structs.replace(answer, body=b"", stored_separately=True)

    def _store_restored(self, previous_era: int, era: int) -> None:
        self._initial_state = mark_restored(ShardState(), self._clock())
        held_count = 0
        for shard, state in list(self._states_by_shard.items()):
            held_count += len(state.held_by_key)
            self._apply_event(shard, StoreRestored())
        log.warning(
            "the key-value service returned from an older copy, era {} to {}; writing "
            "{} claims again and granting none for a while",
            previous_era,
            era,
            held_count,
        )

    def _apply_event(self, shard: int, event: Event) -> None:
        result = step(self.shard_state(shard), event, self._clock())
        self._states_by_shard[shard] = result.state
        for action in result.actions:
            self._execute(shard, action)

    def _execute(self, shard: int, action: Action) -> None:
        match action:
            case GrantClaim() | RefuseClaim() | ReplayAnswer():
                future = self._results_by_claim_id.get(action.claim_id)
                if future is not None and not future.done():
                    future.set_result(action)
            case OutcomeDurable():
                pass
            case ScheduleRetry(at):
                delay = max(0.0, at - self._clock())
                loop = asyncio.get_running_loop()
                loop.call_later(delay, self._apply_event, shard, RetryDue())
            case DeleteSegment(segment_id):
                self._create_task(self._delete(_segment_key(shard, segment_id)))
            case DeleteAnswer(claim_id):
                self._create_task(self._delete(_answer_key(claim_id)))
            case _:
                self._create_task(self._call_service(shard, action))

    async def _delete(self, key: str) -> None:
        await self._store.change({}, (), removed_keys=(key,))

    async def _call_service(self, shard: int, action: Action) -> None:
        match action:
            case LoadHead():
                event = await self._load_head(shard)
            case LoadSegments(segment_ids):
                event = await self._load_segments(shard, segment_ids)
            case WriteSegment():
                event = await self._write_segment(shard, action)
            case WriteHead():
                event = await self._write_head(shard, action)
            case _:
                raise TypeError(
                    f"action does not call the key-value service: {action!r}"
                )
        self._apply_event(shard, event)

    async def _load_head(self, shard: int) -> Event:
        """Read the head of the current era, or the newest one of an earlier era."""
        era = self._store.era
        for head_era in range(era, -1, -1):
            found = await self._store.get(_head_key(shard, head_era))
            if isinstance(found, Err) or self._store.era != era:
                return ServiceFailed()
            item = found.ok_value
            if item is None:
                continue
            position = item.position if head_era == era else None
            try:
                return HeadLoaded(decode_head(item.value), position)
            except msgspec.MsgspecError:
                return ServiceFailed()
        return HeadLoaded(ClaimHead(), None)

    async def _load_segments(self, shard: int, segment_ids: tuple[str, ...]) -> Event:
        segments = {}
        for segment_id in segment_ids:
            found = await self._store.get(_segment_key(shard, segment_id))
            if isinstance(found, Err):
                return ServiceFailed()
            if found.ok_value is not None:
                segments[segment_id] = decode_segment(found.ok_value.value)
        return SegmentsLoaded(segments)

    async def _write_segment(self, shard: int, action: WriteSegment) -> Event:
        """Create a segment; an existing one has the same content."""
        key = _segment_key(shard, action.segment_id)
        value = encode_segment(action.segment)
        written = await self._store.change({key: None}, (Write(key, value),))
        if isinstance(written, Err):
            return ServiceFailed()
        return SegmentWritten(action.segment_id)

    async def _write_head(self, shard: int, action: WriteHead) -> Event:
        key = _head_key(shard, self._store.era)
        written = await self._store.change(
            {key: action.expected_position}, (Write(key, encode_head(action.head)),)
        )
        match written:
            case Ok(None):
                return WriteConflicted()
            case Ok(position):
                return WriteSucceeded(position)
            case Err(error):
                return _write_failure_event(error)

    def _create_task(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _write_failure_event(error: CallError) -> Event:
    if error.failure is CallFailure.UNCERTAIN:
        return WriteUncertain()
    return ServiceFailed()


def _head_key(shard: int, era: int) -> str:
    """Return the key of a shard's head in an era of the store.

    A daemon that does not know yet that the store was restored cannot change the head
    of the new era, even if it has the revision that the daemon expects.
    """
    return f"{KEY_PREFIX}/{shard}/head-{era}" if era else f"{KEY_PREFIX}/{shard}/head"


def _segment_key(shard: int, segment_id: str) -> str:
    return f"{KEY_PREFIX}/{shard}/segments/{segment_id}"


def _answer_key(claim_id: str) -> str:
    return f"{KEY_PREFIX}/answers/{claim_id}"
