"""A model of daemons that claim keys through one service, step by step."""

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
    """One head under compare-and-swap, and segments."""

    head: ClaimHead = field(default_factory=ClaimHead)
    revision: int = 0
    segments_by_id: dict = field(default_factory=dict)
    late_writes: list[WriteHead] = field(default_factory=list)
    writes: int = 0

    def write(self, action: WriteHead) -> bool:
        if action.expected_revision != self.revision:
            return False
        self.head = action.head
        self.revision += 1
        self.writes += 1
        return True


@dataclass
class Daemon:
    """One daemon's shard writer, its call under way and the claims it holds."""

    name: str
    state: ShardState = field(default_factory=ShardState)
    call: object = None
    reply: object = None
    undecided: dict[str, ClaimRecord] = field(default_factory=dict)
    granted: dict[str, ClaimRecord] = field(default_factory=dict)
    ran: dict[str, ClaimRecord] = field(default_factory=dict)
    wake_at: float | None = None
    forwarded: dict[str, ClaimRecord] = field(default_factory=dict)
    given_up: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class Run:
    """One run of a key by an endpoint."""

    claim: ClaimRecord
    answer: Answer


class ClaimsModel:
    """Drives the decisions of several daemons and checks what they allow."""

    def __init__(self, daemon_count: int) -> None:
        self.now = 1.0
        self.service = Service()
        self.daemons = [Daemon(f"d{number}") for number in range(daemon_count)]
        self.runs_by_key: dict[bytes, list[Run]] = {}
        self.result_by_claim_id: dict[str, object] = {}
        self._claims = 0

    def request(self, daemon: Daemon, key: str, body: str = "body") -> ClaimRecord:
        record = self._new_record(daemon, key, body)
        self._request(daemon, record)
        return record

    def _new_record(self, daemon: Daemon, key: str, body: str) -> ClaimRecord:
        self._claims += 1
        return ClaimRecord(
            key_digest=digest(key),
            request_digest=digest(body),
            claim_id=f"{daemon.name}-{self._claims}",
            expires_at=self.now + RETENTION_SECONDS,
        )

    def _request(self, daemon: Daemon, record: ClaimRecord) -> None:
        daemon.undecided[record.claim_id] = record
        self._apply(daemon, ClaimRequested(record))

    def ask_owner(self, daemon: Daemon, owner: Daemon, key: str) -> None:
        """Ask another daemon to claim; its answer is lost, and it is asked here.

        Whatever the owner decides reaches nobody.
        """
        record = self._new_record(daemon, key, "body")
        owner.forwarded[record.claim_id] = record
        self._request(daemon, record.make_superseding_claim())
        self._apply(owner, ClaimRequested(record))

    def withdraw(self, daemon: Daemon, record: ClaimRecord) -> None:
        del daemon.undecided[record.claim_id]
        self.result_by_claim_id[record.claim_id] = "withdrawn"
        self._apply(daemon, ClaimWithdrawn(record))

    def withdraw_forwarded(self, owner: Daemon) -> None:
        """Let the owner's wait for a claim end that another daemon asked it for."""
        claim_id = next(iter(owner.forwarded))
        self._apply(owner, ClaimWithdrawn(owner.forwarded.pop(claim_id)))
        owner.given_up.add(claim_id)

    def carry_out(self, daemon: Daemon) -> None:
        """Let the call under way take effect; its answer is still to come."""
        daemon.reply, daemon.call = self._effect(daemon.call), None

    def deliver(self, daemon: Daemon) -> None:
        reply, daemon.reply = daemon.reply, None
        self._apply(daemon, reply)

    def fail(self, daemon: Daemon) -> None:
        daemon.call = None
        self._apply(daemon, ServiceFailed())

    def lose_answer(self, daemon: Daemon, *, lands_now: bool) -> None:
        """Lose the answer of a head write, which lands now or later or never."""
        action, daemon.call = daemon.call, None
        if lands_now:
            self.service.write(action)
        else:
            self.service.late_writes.append(action)
        self._apply(daemon, WriteUncertain())

    def land_late(self) -> None:
        self.service.write(self.service.late_writes.pop(0))

    def run(self, daemon: Daemon, record: ClaimRecord) -> None:
        """Send a granted claim to an endpoint, unless its deadline has passed."""
        del daemon.granted[record.claim_id]
        if self.now > record.expires_at - RETENTION_SECONDS + DEADLINE_SECONDS:
            self._apply(daemon, OutcomeReported(record, ClaimState.NOT_RUN))
            return
        earlier = self.runs_by_key.setdefault(record.key_digest, [])
        for run in earlier:
            claimed_at = record.expires_at - RETENTION_SECONDS
            assert claimed_at >= run.claim.expires_at, f"ran twice: {run} {record}"
        earlier.append(Run(record, Answer(201, "", f"by {record.claim_id}".encode())))
        daemon.ran[record.claim_id] = record

    def report(self, daemon: Daemon, record: ClaimRecord, *, is_answered: bool) -> None:
        del daemon.ran[record.claim_id]
        if is_answered:
            answer = self.runs_by_key[record.key_digest][-1].answer
            event = OutcomeReported(record, ClaimState.ANSWERED, answer)
        else:
            event = OutcomeReported(record, ClaimState.UNKNOWN)
        self._apply(daemon, event)

    def report_not_run(self, daemon: Daemon, record: ClaimRecord) -> None:
        del daemon.granted[record.claim_id]
        self._apply(daemon, OutcomeReported(record, ClaimState.NOT_RUN))

    def crash(self, daemon: Daemon) -> None:
        """Lose a daemon's state; a write under way may still land."""
        if isinstance(daemon.call, WriteHead):
            self.service.late_writes.append(daemon.call)
        index = self.daemons.index(daemon)
        self.daemons[index] = Daemon(daemon.name)

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        for daemon in self.daemons:
            if daemon.wake_at is not None and daemon.wake_at <= self.now:
                daemon.wake_at = None
                self._apply(daemon, RetryDue())

    def settle(self) -> None:
        """Let a healthy service answer everything that is under way."""
        for _ in range(6):
            while any(map(self._advance, self.daemons)):
                pass
            self.pass_time(1.0)

    def finish_calls(self, daemon: Daemon) -> None:
        """Let the service answer one daemon until it asks for nothing more."""
        while self._advance(daemon):
            pass

    def _advance(self, daemon: Daemon) -> bool:
        """Carry out and answer one call of a daemon, if there is one."""
        if daemon.call is not None:
            self.carry_out(daemon)
        if daemon.reply is None:
            return False
        self.deliver(daemon)
        return True

    def _effect(self, call: object) -> object:
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

    def _apply(self, daemon: Daemon, event: object) -> None:
        result = step(daemon.state, event, self.now)
        daemon.state = result.state
        for action in result.actions:
            self._take(daemon, action)

    def _take(self, daemon: Daemon, action: object) -> None:
        claim_id = getattr(action, "claim_id", None)
        if claim_id in daemon.forwarded or claim_id in daemon.given_up:
            return
        match action:
            case GrantClaim(claim_id):
                self._decide(claim_id, action)
                daemon.granted[claim_id] = daemon.undecided.pop(claim_id)
            case RefuseClaim(claim_id):
                self._decide(claim_id, action)
                del daemon.undecided[claim_id]
            case ReplayAnswer(claim_id, original):
                self._decide(claim_id, action)
                record = daemon.undecided.pop(claim_id)
                answers = [r.answer for r in self.runs_by_key[record.key_digest]]
                assert original.answer in answers, "an answer of no run of this key"
            case ScheduleRetry(at):
                daemon.wake_at = min(at, daemon.wake_at or at)
            case LoadHead() | LoadSegments() | WriteSegment() | WriteHead():
                assert daemon.call is None, "two calls under way"
                assert daemon.reply is None, "a call before the last answer"
                daemon.call = action
            case _:
                self._delete(action)

    def _delete(self, action: object) -> None:
        segment_id = getattr(action, "segment_id", None)
        if segment_id is not None:
            self.service.segments_by_id.pop(segment_id, None)

    def _decide(self, claim_id: str, action: object) -> None:
        assert claim_id not in self.result_by_claim_id, "two results for one claim"
        self.result_by_claim_id[claim_id] = action
