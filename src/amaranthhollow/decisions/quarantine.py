"""Detects requests that crash the endpoints that run them, and quarantines them.

Every request that was running at an endpoint when it crashed is a suspect. A suspect
that has since run well is cleared of that crash. Of the others, one that ran at more
crashes than any other explains these, which then no longer count against those that
ran beside it (decisions/crash_causes.py). Two suspects that ran at the same crashes are
rivals: either may be the cause, and more crashes are needed against both.

The evidence is a set of facts that grow or expire: the crashes of each request, and the
time of the last good run of a suspect. All daemons reach the same verdict from the same
facts. A crash counts after a delay, in which other daemons' evidence on it arrives.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING
from zlib import crc32

import msgspec

from amaranthhollow.decisions.crash_causes import MIN_CRASHES, Explanation, find_causes
from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decoding import Amount

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

__all__ = [
    "CLEARED_FACT",
    "CRASH_FACT",
    "EVIDENCE_DELAY_SECONDS",
    "SIMULTANEOUS_CRASH_FACT",
    "VERDICT_DELAY_SECONDS",
    "Evidence",
    "Quarantine",
]

CRASH_FACT = "crash"
# A crash beside those of other endpoints in the data centre, which may have failed as a
# whole. Earlier builds ignore facts of this kind.
SIMULTANEOUS_CRASH_FACT = "crash-beside-others"
# The last good run of a suspect; its version is the time in milliseconds. Earlier
# builds publish version 1, which clears a suspect until a good run with a time.
CLEARED_FACT = "sound"
MIN_TIMED_VERSION = 1_000_000
EVIDENCE_DELAY_SECONDS = 0.3
VERDICT_DELAY_SECONDS = 0.9
EVIDENCE_RETENTION_SECONDS = 3600.0
# The crash that a good run without a time clears is known by then.
UNTIMED_RETENTION_SECONDS = 60.0
# Crashes beside others count as one within this time.
SIMULTANEOUS_SECONDS = 1.0
# Against a suspect with a rival, or one that ran well before its crashes. Both rivals
# are refused for a moment, so that the sound one doesn't run at the next crash.
MIN_DOUBTFUL_CRASHES = 3
MAX_UNDECIDED_CRASHES = 4
# Rivals are refused for good only after crashes over this time. A sound request that is
# retried at once meets several crashes within less.
MIN_SPREAD_SECONDS = 5.0
# The wrong one of two suspects is not refused for longer than these together. Daemons
# try it again at different times, so that the others know of a crash before they do.
DOUBTFUL_SECONDS = 3.0
MAX_STAGGER_SECONDS = 3.0
# From the last of three crashes to the first trial; doubled for each further crash.
MIN_TRIAL_DELAY_SECONDS = 60.0
# The delay stays below the retention of evidence.
MAX_DOUBLINGS = 5
# The crash of a trial is known to all hosts within this time. Only a few hosts may try
# in each such interval, so that a crashing request makes no more attempts than these.
TRIAL_INTERVAL_SECONDS = 2.0
TRIALS_PER_INTERVAL = 3
MAX_REMEMBERED_SUCCESSES = 2048


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A request was running at an endpoint when it crashed.

    ``crash_id`` names the endpoint and its incarnation; ``at`` is in seconds since
    the Unix epoch.
    """

    request_digest: bytes
    crash_id: str
    at: Amount


@dataclass(frozen=True)
class _Crash:
    """When a request ran at a crash, as reported by facts of each kind.

    Hosts may report the same crash as facts of different kinds.
    """

    at_by_kind: dict[str, float]

    @property
    def at(self) -> float:
        """The earliest reported time, which does not depend on the order of facts."""
        return min(self.at_by_kind.values())


@dataclass(frozen=True)
class _PendingLoss:
    """A lost connection, not yet evidence: the entire data centre may have failed."""

    evidence: Evidence
    host: str
    data_centre: str
    due_at: float


class Quarantine:
    """The crash evidence that one daemon has, and the verdicts that follow from it.

    Times are in seconds since the Unix epoch.
    """

    def __init__(self, host: str = "", *, is_updated: bool = False) -> None:
        """Start without evidence; ``host`` is that of the daemon.

        With ``is_updated`` the caller updates the verdicts, apart from requests, since
        that takes several milliseconds with thousands of suspects.
        """
        self._host = host
        self._is_updated = is_updated
        self._losses: list[_PendingLoss] = []
        self._by_request: dict[bytes, dict[str, _Crash]] = {}
        self._simultaneous_at_by_crash: dict[str, float] = {}
        self._success_by_request: dict[bytes, float] = {}
        self._success_version_by_request: dict[bytes, Version] = {}
        self._untimed_since_by_request: dict[bytes, float] = {}
        self._own_success_by_request: OrderedDict[bytes, float] = OrderedDict()
        self._causes: dict[bytes, Explanation] = {}
        self._causes_until = float("-inf")

    @property
    def has_pending_losses(self) -> bool:
        """Whether lost connections wait to be confirmed as evidence."""
        return bool(self._losses)

    @property
    def suspect_count(self) -> int:
        """How many requests were running at any crash."""
        return len(self._by_request)

    def is_suspect(self, request_digest: bytes) -> bool:
        """Return whether the request was running at any crash."""
        return request_digest in self._by_request

    def is_cleared(self, request_digest: bytes) -> bool:
        """Return whether a suspect has run well since all of its crashes."""
        is_suspect = request_digest in self._by_request
        return is_suspect and not self.crash_count(request_digest)

    def is_quarantined(self, request_digest: bytes, now: float) -> bool:
        """Return whether the request explains enough crashes."""
        cause = self._cause(request_digest, now)
        if cause is None:
            return False
        if self._is_certain(request_digest, cause):
            return True
        has_several = cause.crash_count >= MIN_DOUBTFUL_CRASHES
        return has_several and now < self._doubtful_until(request_digest)

    def retry_at(
        self, request_digest: bytes, now: float, hosts: Collection[str] = ()
    ) -> float:
        """Return when this daemon may try a quarantined request again.

        Two crashes may be a coincidence, and are held against it for a moment only.
        After more, the daemons on ``hosts`` try it in turn, a few at a time.
        """
        cause = self._cause(request_digest, now)
        if cause is None:
            return now
        if not self.has_lasting_verdict(request_digest, now):
            return self._doubtful_until(request_digest)
        doublings = min(cause.crash_count - MIN_DOUBTFUL_CRASHES, MAX_DOUBLINGS)
        delay = MIN_TRIAL_DELAY_SECONDS * 2**doublings
        turn = _rank(self._host, hosts, request_digest) // TRIALS_PER_INTERVAL
        crashed_at = max(self._crashed_at(request_digest), default=now)
        return crashed_at + delay + turn * TRIAL_INTERVAL_SECONDS

    def has_lasting_verdict(self, request_digest: bytes, now: float) -> bool:
        """Return whether a request is refused until a trial, not for a moment only."""
        cause = self._cause(request_digest, now)
        return (
            cause is not None
            and cause.crash_count > MIN_CRASHES
            and self._is_certain(request_digest, cause)
        )

    def has_repeated(self, request_digest: bytes) -> bool:
        """Return whether it ran at several independent crashes, and not well since."""
        crashes = self._by_request.get(request_digest, {})
        uncleared = [
            c for c in crashes if self._is_uncleared(request_digest, crashes[c])
        ]
        return self._count(uncleared) >= MIN_CRASHES

    def quarantined(self, now: float) -> list[bytes]:
        """Return the digests of all quarantined requests."""
        return [d for d in self._find_causes(now) if self.is_quarantined(d, now)]

    def crash_count(self, request_digest: bytes) -> int:
        """Return at how many crashes the request ran since it last ran well."""
        return len(self._crashed_at(request_digest))

    def record_connection_loss(
        self,
        request_digest: bytes,
        host: str,
        incarnation: int,
        data_centre: str,
        now: float,
        lost_at: float | None = None,
    ) -> float:
        """Record a connection that was lost without a reclaim notice.

        ``lost_at`` is the time of the loss if it was before ``now``. Return the time
        from which the request may be retried.
        """
        at = now if lost_at is None else lost_at
        evidence = Evidence(request_digest, f"{host}@{incarnation}", at)
        due_at = now + EVIDENCE_DELAY_SECONDS
        self._losses.append(_PendingLoss(evidence, host, data_centre, due_at))
        if self.is_suspect(request_digest):
            return now + VERDICT_DELAY_SECONDS
        return due_at

    def confirm_evidence(
        self,
        reclaimed: Iterable[str],
        now: float,
        *,
        includes_simultaneous: bool = False,
    ) -> list[Fact]:
        """Return the losses that are confirmed as evidence by now, as facts.

        The loss of a host in ``reclaimed`` is no evidence against the requests that
        were running there. Simultaneous losses of several hosts in one data centre are
        none either, or with ``includes_simultaneous`` weaker ones, unless the request
        ran on all of these hosts, one after the other.
        """
        due = [loss for loss in self._losses if loss.due_at <= now]
        losses = self._losses
        self._losses = [loss for loss in losses if loss.due_at > now]
        reclaimed_hosts = set(reclaimed)
        facts = []
        for loss in due:
            if loss.host in reclaimed_hosts:
                continue
            if not _has_unrelated_loss(loss, losses):
                facts.append(_fact(CRASH_FACT, loss.evidence))
            elif includes_simultaneous:
                facts.append(_fact(SIMULTANEOUS_CRASH_FACT, loss.evidence))
        return facts

    def record_success(self, request_digest: bytes, now: float) -> list[Fact]:
        """Record that a request has run well; return facts if it is a suspect."""
        successes = self._own_success_by_request
        successes[request_digest] = now
        successes.move_to_end(request_digest)
        if len(successes) > MAX_REMEMBERED_SUCCESSES:
            successes.popitem(last=False)
        return self.replies(request_digest)

    def replies(self, request_digest: bytes) -> list[Fact]:
        """Return the own success of a suspect if it changes what daemons conclude."""
        own = self._own_success_by_request.get(request_digest)
        known = self._success_by_request.get(request_digest, 0.0)
        crashes = self._by_request.get(request_digest)
        if own is None or not crashes or own <= known:
            return []
        clears = any(known < crash.at <= own for crash in crashes.values())
        if known and not clears:
            return []
        version = Version(int(own * 1000))
        return [Fact(CLEARED_FACT, request_digest.hex(), version, b"")]

    def apply(self, fact: Fact) -> Evidence:
        """Add evidence that gossip reported as new."""
        evidence = msgspec.msgpack.decode(fact.value, type=Evidence)
        digest, crash_id = evidence.request_digest, evidence.crash_id
        if fact.kind == SIMULTANEOUS_CRASH_FACT:
            self._add_simultaneous(crash_id, evidence.at)
        crashes = self._by_request.setdefault(digest, {})
        at_by_kind = crashes.setdefault(crash_id, _Crash({})).at_by_kind
        at_by_kind[fact.kind] = min(evidence.at, at_by_kind.get(fact.kind, evidence.at))
        self._causes_until = float("-inf")
        return evidence

    def apply_success(self, fact: Fact) -> None:
        """Apply the last good run of a suspect that gossip reported as new."""
        digest = bytes.fromhex(fact.name)
        known = self._success_version_by_request.get(digest)
        if known is not None and known >= fact.version:
            return
        self._success_version_by_request[digest] = fact.version
        milliseconds = fact.version.incarnation
        is_timed = milliseconds >= MIN_TIMED_VERSION
        self._success_by_request[digest] = (
            milliseconds / 1000 if is_timed else float("inf")
        )
        self._causes_until = float("-inf")

    def expire(self, now: float) -> list[tuple[str, str]]:
        """Remove expired evidence, and return the kinds and names of its facts."""
        removed = self._expire_successes(now)
        for digest, crashes in list(self._by_request.items()):
            for crash_id, crash in list(crashes.items()):
                for kind, at in list(crash.at_by_kind.items()):
                    if at + EVIDENCE_RETENTION_SECONDS <= now:
                        del crash.at_by_kind[kind]
                        removed.append((kind, _fact_name(digest, crash_id)))
                if not crash.at_by_kind:
                    del crashes[crash_id]
            if not crashes:
                del self._by_request[digest]
                if self._success_by_request.pop(digest, None) is not None:
                    del self._success_version_by_request[digest]
                    removed.append((CLEARED_FACT, digest.hex()))
        if removed:
            self._simultaneous_at_by_crash.clear()
            for crashes in self._by_request.values():
                for crash_id, crash in crashes.items():
                    if SIMULTANEOUS_CRASH_FACT in crash.at_by_kind:
                        at = crash.at_by_kind[SIMULTANEOUS_CRASH_FACT]
                        self._add_simultaneous(crash_id, at)
            self._causes_until = float("-inf")
        return removed

    def _expire_successes(self, now: float) -> list[tuple[str, str]]:
        """Remove good runs by age; those without a time, if there is no crash."""
        expired = [
            digest
            for digest, succeeded_at in self._success_by_request.items()
            if succeeded_at + EVIDENCE_RETENTION_SECONDS <= now
        ]
        for digest, succeeded_at in self._success_by_request.items():
            if succeeded_at == float("inf") and digest not in self._by_request:
                since = self._untimed_since_by_request.setdefault(digest, now)
                if since + UNTIMED_RETENTION_SECONDS <= now:
                    expired.append(digest)
        for digest in expired:
            del self._success_by_request[digest]
            del self._success_version_by_request[digest]
        for digest in self._untimed_since_by_request.keys() - self._success_by_request:
            del self._untimed_since_by_request[digest]
        return [(CLEARED_FACT, digest.hex()) for digest in expired]

    def _add_simultaneous(self, crash_id: str, at: float) -> None:
        known = self._simultaneous_at_by_crash.get(crash_id, at)
        self._simultaneous_at_by_crash[crash_id] = min(at, known)

    def _is_uncleared(self, request_digest: bytes, crash: _Crash) -> bool:
        return crash.at > self._success_by_request.get(request_digest, 0.0)

    def _crashed_at(self, request_digest: bytes) -> list[float]:
        """Return the times of the crashes since the last good run of a request."""
        crashes = self._by_request.get(request_digest, {}).values()
        return [
            crash.at for crash in crashes if self._is_uncleared(request_digest, crash)
        ]

    def _is_certain(self, request_digest: bytes, cause: Explanation) -> bool:
        is_doubtful = cause.has_rival or request_digest in self._success_by_request
        if not is_doubtful:
            return True
        times = self._crashed_at(request_digest)
        spread = max(times) - min(times)
        return (
            cause.crash_count >= MAX_UNDECIDED_CRASHES and spread >= MIN_SPREAD_SECONDS
        )

    def _doubtful_until(self, request_digest: bytes) -> float:
        (byte,) = blake2b(self._host.encode() + request_digest, digest_size=1).digest()
        stagger = MAX_STAGGER_SECONDS * byte / 255
        return max(self._crashed_at(request_digest)) + DOUBTFUL_SECONDS + stagger

    def _cause(self, request_digest: bytes, now: float) -> Explanation | None:
        """Return what a request explains, unless a good run was reported since."""
        if not self.crash_count(request_digest):
            return None
        return self._find_causes(now).get(request_digest)

    def _find_causes(self, now: float) -> dict[bytes, Explanation]:
        """Return what explains the crashes whose evidence is complete by now."""
        if not self._is_updated:
            self.update(now)
        return self._causes

    @property
    def is_update_due(self) -> bool:
        """Whether facts are new, or crashes will count within moments."""
        return self._causes_until < float("inf")

    def update(self, now: float) -> None:
        """Weigh the crashes whose evidence is complete by now, if any is new.

        Suspects that ran well before their crashes only explain what no other does.
        """
        if now < self._causes_until:
            return
        self._causes_until = float("inf")
        fresh, proven = {}, {}
        for digest, crashes in self._by_request.items():
            if len(crashes) < MIN_CRASHES:
                continue
            counted = set()
            for crash_id, crash in crashes.items():
                due_at = crash.at + VERDICT_DELAY_SECONDS
                if due_at > now:
                    self._causes_until = min(self._causes_until, due_at)
                elif self._is_uncleared(digest, crash):
                    counted.add(crash_id)
            if len(counted) >= MIN_CRASHES:
                group = proven if digest in self._success_by_request else fresh
                group[digest] = counted
        causes = find_causes(fresh, self._count)
        explained = {crash for digest in causes for crash in fresh[digest]}
        left = {digest: crashes - explained for digest, crashes in proven.items()}
        causes |= find_causes(left, self._count)
        self._causes = self._add_doubtful(causes, fresh | proven)

    def _add_doubtful(
        self,
        causes: dict[bytes, Explanation],
        crashes_by_request: dict[bytes, set[str]],
    ) -> dict[bytes, Explanation]:
        """Add suspects of many crashes that others explain, but without certainty.

        With several causes at a time, one of them runs at crashes of another by chance.
        """
        uncertain = {
            crash
            for digest, cause in causes.items()
            if cause.has_rival
            for crash in crashes_by_request[digest]
        }
        found = dict(causes)
        for digest, crashes in crashes_by_request.items():
            count = self._count(crashes)
            is_certain = count >= MAX_UNDECIDED_CRASHES
            is_doubtful = count >= MIN_DOUBTFUL_CRASHES and crashes & uncertain
            if digest not in causes and (is_certain or is_doubtful):
                found[digest] = Explanation(count, has_rival=True)
        return found

    def _count(self, crash_ids: Collection[str]) -> int:
        """Return how many independent crashes there are among some."""
        if self._simultaneous_at_by_crash.keys().isdisjoint(crash_ids):
            return len(crash_ids)
        simultaneous_at = sorted(
            self._simultaneous_at_by_crash[crash_id]
            for crash_id in crash_ids
            if crash_id in self._simultaneous_at_by_crash
        )
        count, last = len(crash_ids) - len(simultaneous_at), float("-inf")
        for at in simultaneous_at:
            if at - last >= SIMULTANEOUS_SECONDS:
                count, last = count + 1, at
        return count


def _has_unrelated_loss(loss: _PendingLoss, losses: Iterable[_PendingLoss]) -> bool:
    """Return whether the data centre lost a host that did not run the request."""
    hosts = {lost.host for lost in losses if lost.data_centre == loss.data_centre}
    own = loss.evidence
    ran_on = {
        other.host
        for other in losses
        if other.evidence.request_digest == own.request_digest
        and other.evidence.at != own.at
    }
    return bool(hosts - ran_on - {loss.host})


def _rank(host: str, hosts: Iterable[str], request_digest: bytes) -> int:
    """Return at which place a daemon tries a request, in an order all daemons share."""
    seed = crc32(request_digest)
    own = (crc32(host.encode(), seed), host)
    return sum((crc32(other.encode(), seed), other) < own for other in hosts)


def _fact_name(request_digest: bytes, crash_id: str) -> str:
    return f"{request_digest.hex()}/{crash_id}"


def _fact(kind: str, evidence: Evidence) -> Fact:
    name = _fact_name(evidence.request_digest, evidence.crash_id)
    return Fact(kind, name, Version(1), msgspec.msgpack.encode(evidence))
