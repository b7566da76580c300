"""Compares ways to store claims durably, at 10, 100 and 1000 claims a second.

Counts writes, conflicts, reads, bytes and waits in virtual time: a call to the
key-value service takes ``ONE_WAY_SECONDS`` in each direction, all else is instant.
The baselines are computed from the calls that their design needs. Checks no bound.
"""

from __future__ import annotations

import heapq
import sys
import time
from dataclasses import dataclass, field
from itertools import count
from random import Random
from statistics import median, quantiles
from typing import TYPE_CHECKING

from amaranthhollow.decisions.claim_messages import (
    ClaimRequested,
    GrantClaim,
    HeadLoaded,
    LoadHead,
    LoadSegments,
    OutcomeReported,
    RetryDue,
    ScheduleRetry,
    SegmentsLoaded,
    SegmentWritten,
    WriteConflicted,
    WriteHead,
    WriteSegment,
    WriteSucceeded,
)
from amaranthhollow.decisions.claim_records import (
    SHARD_COUNT,
    Answer,
    ClaimHead,
    ClaimRecord,
    ClaimState,
    digest,
    encode_head,
    encode_segment,
    shard_of,
)
from amaranthhollow.decisions.claim_state import ShardState
from amaranthhollow.decisions.claims import step
from amaranthhollow.decisions.rendezvous import owner

if TYPE_CHECKING:
    from collections.abc import Callable

__all__: list[str] = []

SEED = 5
ONE_WAY_SECONDS = 0.0015
RUN_SECONDS = 0.05
DURATION_SECONDS = 3.0
WARM_UP_SECONDS = 1.0
RETENTION_SECONDS = 3600.0
ANSWER_BYTES = 120
RATES = (10, 100, 1000)
DAEMON_COUNTS = (9, 370)


@dataclass
class Counts:
    """Calls and bytes at the key-value service, and the waits for a grant."""

    writes: int = 0
    conflicts: int = 0
    reads: int = 0
    bytes_written: int = 0
    bytes_read: int = 0
    seconds: float = 0.0
    waits: list[float] = field(default_factory=list)


@dataclass
class Shard:
    """What the key-value service stores of one shard."""

    head: ClaimHead = field(default_factory=ClaimHead)
    revision: int = 0
    segments_by_id: dict = field(default_factory=dict)


class Simulation:
    """Daemons that claim keys through the decisions that are measured."""

    def __init__(self, daemon_count: int, rate: float, *, forwards: bool) -> None:
        self.random = Random(SEED)
        self.rate = rate
        self.forwards = forwards
        self.daemons = [f"d{number}" for number in range(daemon_count)]
        self.counts = Counts()
        self.now = 0.0
        self._states: dict[tuple[str, int], ShardState] = {}
        self._shards = [Shard() for _ in range(SHARD_COUNT)]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._requests_by_claim_id: dict[str, tuple[float, ClaimRecord]] = {}

    def run(self) -> Counts:
        """Run for the duration and return the counts after the warm-up."""
        self._schedule(0.0, self._arrive)
        self._schedule(WARM_UP_SECONDS, self._reset)
        while self._queue and self._queue[0][0] < DURATION_SECONDS:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()
        return self.counts

    def _reset(self) -> None:
        self.counts = Counts()

    def _schedule(self, delay: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._order), callback))

    def _arrive(self) -> None:
        number = next(self._order)
        record = ClaimRecord(
            key_digest=digest(str(number)),
            request_digest=digest("body"),
            claim_id=f"entry-001-1796331109484-{number}",
            expires_at=self.now + RETENTION_SECONDS,
        )
        shard = shard_of(record.key_digest)
        daemon = self.random.choice(self.daemons)
        if self.forwards:
            daemon = owner(f"shard-{shard}", self.daemons)
        self._requests_by_claim_id[record.claim_id] = (self.now, record)
        delay = 2 * ONE_WAY_SECONDS / 3 if self.forwards else 0.0
        self._schedule(
            delay, lambda: self._apply(daemon, shard, ClaimRequested(record))
        )
        self._schedule(self.random.expovariate(self.rate), self._arrive)

    def _apply(self, daemon: str, shard: int, event: object) -> None:
        state = self._states.get((daemon, shard), ShardState())
        started_at = time.process_time()
        result = step(state, event, self.now)
        self.counts.seconds += time.process_time() - started_at
        self._states[daemon, shard] = result.state
        for action in result.actions:
            self._perform(daemon, shard, action)

    def _perform(self, daemon: str, shard: int, action: object) -> None:
        match action:
            case GrantClaim(claim_id):
                requested_at, record = self._requests_by_claim_id.pop(claim_id)
                self.counts.waits.append(self.now - requested_at)
                answer = Answer(201, "application/json", b"x" * ANSWER_BYTES)
                outcome = OutcomeReported(record, ClaimState.ANSWERED, answer)
                self._schedule(RUN_SECONDS, lambda: self._apply(daemon, shard, outcome))
            case ScheduleRetry(at):
                delay = at - self.now
                self._schedule(delay, lambda: self._apply(daemon, shard, RetryDue()))
            case LoadHead() | LoadSegments() | WriteSegment() | WriteHead():
                self._schedule(
                    ONE_WAY_SECONDS, lambda: self._call_service(daemon, shard, action)
                )

    def _call_service(self, daemon: str, shard: int, action: object) -> None:
        response = self._execute_call(self._shards[shard], action)
        self._schedule(ONE_WAY_SECONDS, lambda: self._apply(daemon, shard, response))

    def _execute_call(self, shard: Shard, action: object) -> object:
        counts = self.counts
        match action:
            case LoadHead():
                counts.reads += 1
                counts.bytes_read += len(encode_head(shard.head))
                return HeadLoaded(shard.head, shard.revision)
            case LoadSegments(segment_ids):
                counts.reads += len(segment_ids)
                found = {s: shard.segments_by_id[s] for s in segment_ids}
                counts.bytes_read += sum(len(encode_segment(s)) for s in found.values())
                return SegmentsLoaded(found)
            case WriteSegment(segment_id, segment):
                counts.writes += 1
                counts.bytes_written += len(encode_segment(segment))
                shard.segments_by_id[segment_id] = segment
                return SegmentWritten(segment_id)
            case WriteHead(head, expected_position):
                counts.writes += 1
                counts.bytes_written += len(encode_head(head))
                if expected_position != shard.revision:
                    counts.conflicts += 1
                    return WriteConflicted()
                shard.head = head
                shard.revision += 1
                return WriteSucceeded(shard.revision)
        raise TypeError(f"unknown action {action!r}")


def report(name: str, counts: Counts) -> None:
    """Print counts as rates."""
    seconds = DURATION_SECONDS - WARM_UP_SECONDS
    waits = [1000 * wait for wait in counts.waits] or [float("nan")] * 2
    print(
        f"  {name:28} {counts.writes / seconds:7.1f} writes/s "
        f"({counts.conflicts / seconds:.1f} in conflict) "
        f"{counts.reads / seconds:7.1f} reads/s "
        f"{counts.bytes_written / seconds / 1000:8.1f} KB/s written "
        f"{counts.bytes_read / seconds / 1000:8.1f} KB/s read; "
        f"granted {len(counts.waits) / seconds:.0f}/s, "
        f"wait median {median(waits):.1f} p95 {quantiles(waits, n=20)[-1]:.1f} ms, "
        f"decisions {1e6 * counts.seconds / max(1, len(counts.waits)):.0f} us a claim"
    )


def report_baselines(rate: float) -> None:
    """Print the writes of one key per request and of one log per shard at a rate."""
    record = ClaimRecord(b"k" * 16, b"r" * 16, "entry-001-1796331109484-1", 1e9)
    answer = Answer(201, "application/json", b"x" * ANSWER_BYTES)
    closed = ClaimRecord(
        b"k" * 16, b"r" * 16, "entry-001-1796331109484-1", 1e9, ClaimState(1), answer
    )
    size = sum(len(encode_head(ClaimHead((r,)))) for r in (record, closed))
    print(
        f"  {'one key per request (counted)':28} {2 * rate:7.1f} writes/s, "
        f"{rate * size / 1000:.1f} KB/s written"
    )
    cycles = min(2 * rate, SHARD_COUNT / (2 * ONE_WAY_SECONDS))
    print(
        f"  {'one log per shard (counted)':28} {cycles:7.1f} writes/s at most, "
        f"{rate * size / 1000:.1f} KB/s written"
    )


def main() -> None:
    """Run every rate, with the daemon counts of the command line or the defaults."""
    daemon_counts = [int(n) for n in sys.argv[1:]] or DAEMON_COUNTS
    for rate in RATES:
        print(f"{rate} claims a second")
        report_baselines(rate)
        for daemon_count in daemon_counts:
            for forwards in (False, True):
                description = "by shard owner" if forwards else "by each daemon"
                simulation = Simulation(daemon_count, rate, forwards=forwards)
                report(f"{daemon_count} daemons, {description}", simulation.run())


main()
