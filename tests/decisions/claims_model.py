"""Model of daemons that claim keys through one key-value service."""

from __future__ import annotations

from dataclasses import dataclass, field

from amaranthhollow.decisions.claim_messages import (
    ClaimRequested,
    ClaimWithdrawn,
    GrantClaim,
    HeadLoaded,
    LoadHead,
    LoadSegments,
    OutcomeReported,
    RefuseClaim,
    ReplayAnswer,
    RetryDue,
    ScheduleRetry,
    SegmentsLoaded,
    SegmentWritten,
    ServiceFailed,
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
    ClaimState,
    digest,
)
from amaranthhollow.decisions.claim_state import ShardState
from amaranthhollow.decisions.claims import step

RETENTION_SECONDS = 1000.0
DEADLINE_SECONDS = 100.0


@dataclass
class Service:
    """The service: one head written with compare-and-swap, and segments."""

    head: ClaimHead = field(default_factory=ClaimHead)
    revision: int = 0
    segments_by_id: dict = field(default_factory=dict)
    late_writes: list[WriteHead] = field(default_factory=list)
    writes: int = 0

    def write(self, action: WriteHead) -> bool:
        if action.expected_position != self.revision:
            return False
        self.head = action.head
        self.revision += 1
        self.writes += 1
        return True


@dataclass
class Daemon:
    """One daemon: its shard writer, its pending call or reply, and its claims."""

    name: str
    state: ShardState = field(default_factory=ShardState)
    call: object = None
    reply: object = None
    undecided: dict[str, ClaimRecord] = field(default_factory=dict)
    granted: dict[str, ClaimRecord] = field(default_factory=dict)
    running: dict[str, ClaimRecord] = field(default_factory=dict)
    retry_at: float | None = None
    forwarded: dict[str, ClaimRecord] = field(default_factory=dict)
    withdrawn_claim_ids: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Run:
    """One run of a claimed request by an endpoint."""

    claim: ClaimRecord
    answer: Answer


class ClaimsModel:
    """Drives the claim writers of several daemons and checks their actions."""

    def __init__(self, daemon_count: int) -> None:
        self.now = 1.0
        self.service = Service()
        self.daemons = [Daemon(f"d{number}") for number in range(daemon_count)]
        self.runs_by_key: dict[bytes, list[Run]] = {}
        self.result_by_claim_id: dict[str, object] = {}
        self._claim_count = 0

    def request(self, daemon: Daemon, key: str, body: str = "body") -> ClaimRecord:
        record = self._new_record(daemon, key, body)
        self._request(daemon, record)
        return record

    def _new_record(self, daemon: Daemon, key: str, body: str) -> ClaimRecord:
        self._claim_count += 1
        return ClaimRecord(
            key_digest=digest(key),
            request_digest=digest(body),
            claim_id=f"{daemon.name}-{self._claim_count}",
            expires_at=self.now + RETENTION_SECONDS,
        )

    def _request(self, daemon: Daemon, record: ClaimRecord) -> None:
        daemon.undecided[record.claim_id] = record
        self._apply_event(daemon, ClaimRequested(record))

    def ask_owner(self, daemon: Daemon, owner: Daemon, key: str) -> None:
        """Forward a claim to its owner, lose the answer, and claim it locally.

        The owner's decision is discarded.
        """
        record = self._new_record(daemon, key, "body")
        owner.forwarded[record.claim_id] = record
        self._request(daemon, record.make_superseding_claim())
        self._apply_event(owner, ClaimRequested(record))

    def withdraw(self, daemon: Daemon, record: ClaimRecord) -> None:
        del daemon.undecided[record.claim_id]
        self.result_by_claim_id[record.claim_id] = "withdrawn"
        self._apply_event(daemon, ClaimWithdrawn(record))

    def withdraw_forwarded(self, owner: Daemon) -> None:
        """Let the owner withdraw a claim that another daemon forwarded to it."""
        claim_id = next(iter(owner.forwarded))
        self._apply_event(owner, ClaimWithdrawn(owner.forwarded.pop(claim_id)))
        owner.withdrawn_claim_ids.add(claim_id)

    def carry_out(self, daemon: Daemon) -> None:
        """Execute the pending call in the service, without delivering the answer."""
        daemon.reply, daemon.call = self._execute_call(daemon.call), None

    def deliver(self, daemon: Daemon) -> None:
        reply, daemon.reply = daemon.reply, None
        self._apply_event(daemon, reply)

    def fail(self, daemon: Daemon) -> None:
        daemon.call = None
        self._apply_event(daemon, ServiceFailed())

    def lose_answer(self, daemon: Daemon, *, is_applied_now: bool) -> None:
        """Lose the answer of a head write, which takes effect now, later or never."""
        action, daemon.call = daemon.call, None
        if is_applied_now:
            self.service.write(action)
        else:
            self.service.late_writes.append(action)
        self._apply_event(daemon, WriteUncertain())

    def finish_late_write(self) -> None:
        self.service.write(self.service.late_writes.pop(0))

    def run(self, daemon: Daemon, record: ClaimRecord) -> None:
        """Run a granted request at an endpoint, unless its deadline has passed."""
        del daemon.granted[record.claim_id]
        if self.now > record.expires_at - RETENTION_SECONDS + DEADLINE_SECONDS:
            self._apply_event(daemon, OutcomeReported(record, ClaimState.NOT_RUN))
            return
        earlier_runs = self.runs_by_key.setdefault(record.key_digest, [])
        for run in earlier_runs:
            claimed_at = record.expires_at - RETENTION_SECONDS
            assert claimed_at >= run.claim.expires_at, (
                f"request was run twice: {run} {record}"
            )
        earlier_runs.append(
            Run(record, Answer(201, "", f"by {record.claim_id}".encode()))
        )
        daemon.running[record.claim_id] = record

    def report(self, daemon: Daemon, record: ClaimRecord, *, is_answered: bool) -> None:
        del daemon.running[record.claim_id]
        if is_answered:
            answer = self.runs_by_key[record.key_digest][-1].answer
            event = OutcomeReported(record, ClaimState.ANSWERED, answer)
        else:
            event = OutcomeReported(record, ClaimState.UNKNOWN)
        self._apply_event(daemon, event)

    def report_not_run(self, daemon: Daemon, record: ClaimRecord) -> None:
        del daemon.granted[record.claim_id]
        self._apply_event(daemon, OutcomeReported(record, ClaimState.NOT_RUN))

    def crash(self, daemon: Daemon) -> None:
        """Lose a daemon's state; a pending write may still take effect later."""
        if isinstance(daemon.call, WriteHead):
            self.service.late_writes.append(daemon.call)
        index = self.daemons.index(daemon)
        self.daemons[index] = Daemon(daemon.name)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for daemon in self.daemons:
            if daemon.retry_at is not None and daemon.retry_at <= self.now:
                daemon.retry_at = None
                self._apply_event(daemon, RetryDue())

    def run_until_idle(self) -> None:
        """Execute and answer all pending calls, and advance the time for retries."""
        for _ in range(6):
            while any(map(self._complete_next_call, self.daemons)):
                pass
            self.pass_time(1.0)

    def finish_calls(self, daemon: Daemon) -> None:
        """Execute and answer the calls of one daemon until it makes no more."""
        while self._complete_next_call(daemon):
            pass

    def _complete_next_call(self, daemon: Daemon) -> bool:
        """Execute and answer one call of a daemon; False if there is none."""
        if daemon.call is not None:
            self.carry_out(daemon)
        if daemon.reply is None:
            return False
        self.deliver(daemon)
        return True

    def _execute_call(self, call: object) -> object:
        service = self.service
        match call:
            case LoadHead():
                return HeadLoaded(service.head, service.revision)
            case LoadSegments(segment_ids):
                found = {
                    segment_id: service.segments_by_id[segment_id]
                    for segment_id in segment_ids
                    if segment_id in service.segments_by_id
                }
                return SegmentsLoaded(found)
            case WriteSegment(segment_id, segment):
                service.segments_by_id[segment_id] = segment
                return SegmentWritten(segment_id)
            case WriteHead():
                if service.write(call):
                    return WriteSucceeded(service.revision)
                return WriteConflicted()
        raise AssertionError(f"unexpected call {call}")

    def _apply_event(self, daemon: Daemon, event: object) -> None:
        result = step(daemon.state, event, self.now)
        daemon.state = result.state
        for action in result.actions:
            self._execute_action(daemon, action)

    def _execute_action(self, daemon: Daemon, action: object) -> None:
        claim_id = getattr(action, "claim_id", None)
        if claim_id in daemon.forwarded or claim_id in daemon.withdrawn_claim_ids:
            return
        match action:
            case GrantClaim(claim_id):
                self._record_result(claim_id, action)
                daemon.granted[claim_id] = daemon.undecided.pop(claim_id)
            case RefuseClaim(claim_id):
                self._record_result(claim_id, action)
                del daemon.undecided[claim_id]
            case ReplayAnswer(claim_id, original):
                self._record_result(claim_id, action)
                record = daemon.undecided.pop(claim_id)
                answers = [r.answer for r in self.runs_by_key[record.key_digest]]
                assert original.answer in answers, (
                    "replayed answer is from no run of this key"
                )
            case ScheduleRetry(at):
                daemon.retry_at = min(at, daemon.retry_at or at)
            case LoadHead() | LoadSegments() | WriteSegment() | WriteHead():
                assert daemon.call is None, "second call before the first was executed"
                assert daemon.reply is None, (
                    "call before the answer to the previous one"
                )
                daemon.call = action
            case _:
                self._delete(action)

    def _delete(self, action: object) -> None:
        segment_id = getattr(action, "segment_id", None)
        if segment_id is not None:
            self.service.segments_by_id.pop(segment_id, None)

    def _record_result(self, claim_id: str, action: object) -> None:
        assert claim_id not in self.result_by_claim_id, "second result for one claim"
        self.result_by_claim_id[claim_id] = action
