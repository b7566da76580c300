"""Detects parts of prompts that crash the endpoints that begin to respond to them.

Requests with such a part may differ in everything else, so evidence is kept by part.
Every shared part of a prompt that was running at a crash is a suspect, until an
endpoint responds to a later request with it. A part is quarantined once it was running
at several crashes, unless another suspect explains all of them as well. As long as it
is not known which of two suspects is the cause, only requests with both are rejected.
Some time after the last crash, which doubles with each one, a single host may try a
request with the part, since the verdict may be wrong or outdated.

The evidence is a set of facts that all hosts share: the crashes of each part, and the
newest request with it that succeeded. Hosts publish successes of suspects only.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.rendezvous import owner
from amaranthhollow.decoding import Amount

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

__all__ = ["PART_CRASH_FACT", "PART_SUCCESS_FACT", "PromptQuarantine"]

PART_CRASH_FACT = "part-crash"
PART_SUCCESS_FACT = "part-success"
DIGEST_BYTES = 8
# One crash may have happened to any request.
MIN_CRASHES = 2
# Suspects that always occur together are quarantined together from then on.
MAX_UNDECIDED_CRASHES = 4
# A part to which endpoints have responded before is probably not the cause. Without
# any response it is, if no other part explains the crashes; all endpoints being down
# looks the same, so the quarantine ends soon after the last crash.
MIN_CRASHES_AFTER_SUCCESS = 6
QUARANTINE_AFTER_SUCCESS_SECONDS = 10.0
# Endpoints that fail at the same moment have a common cause.
SIMULTANEOUS_SECONDS = 0.1
# By then other hosts have published successes of a suspect.
VERDICT_DELAY_SECONDS = 0.6
# Time from the last crash to the next trial; doubled for each crash but the first two.
MIN_TRIAL_DELAY_SECONDS = 30.0
# The delay exceeds the retention of evidence by then.
MAX_DOUBLINGS = 7
# A trial has shown a crash or a success by then.
TRIAL_SECONDS = 15.0
RETENTION_SECONDS = 3600.0
MAX_REMEMBERED_SUCCESSES = 4096


class PromptQuarantine:
    """The evidence on parts of prompts that one host has, and its verdicts.

    Parts are given by identifier; times are in seconds since the Unix epoch.
    """

    def __init__(self, host: str) -> None:
        """Start without evidence on ``host``."""
        self._host = host
        self._crashes_by_part: dict[str, dict[str, float]] = {}
        self._suspected_at_by_part: dict[str, float] = {}
        self._success_by_part: dict[str, float] = {}
        self._own_success_by_part: OrderedDict[str, float] = OrderedDict()
        self._tried_at_by_part: dict[str, float] = {}
        self._obsolete_facts: list[tuple[str, str]] = []

    def record_success(self, part_ids: Iterable[str], sent_at: float) -> list[Fact]:
        """Record a successful request; return facts on the suspects among its parts."""
        facts = []
        for part in map(_digest, part_ids):
            previous = self._own_success_by_part.get(part, 0.0)
            self._own_success_by_part[part] = max(sent_at, previous)
            self._own_success_by_part.move_to_end(part)
            if self._is_news(part):
                facts.append(self._success_fact(part))
        while len(self._own_success_by_part) > MAX_REMEMBERED_SUCCESSES:
            self._own_success_by_part.popitem(last=False)
        return facts

    def crash_facts(
        self, part_ids: Iterable[str], crash_id: str, crashed_at: float
    ) -> list[Fact]:
        """Return the evidence that requests with these parts ran at a crash."""
        value = msgspec.msgpack.encode(crashed_at)
        return [
            Fact(PART_CRASH_FACT, f"{part}/{crash_id}", Version(1), value)
            for part in sorted(set(map(_digest, part_ids)))
        ]

    def apply(self, fact: Fact, now: float) -> list[Fact]:
        """Apply a fact that gossip reported as new.

        Return the facts with which this host replies to a crash: own successes of the
        suspect that are not known yet.
        """
        if fact.kind == PART_SUCCESS_FACT:
            self._apply_success(fact.name, fact.version.incarnation / 1000)
            return []
        part, _, crash_id = fact.name.partition("/")
        crashed_at = msgspec.msgpack.decode(fact.value, type=Amount)
        if crashed_at > self._success_by_part.get(part, 0.0):
            self._crashes_by_part.setdefault(part, {})[crash_id] = crashed_at
            self._suspected_at_by_part.setdefault(part, now)
        else:
            self._obsolete_facts.append((PART_CRASH_FACT, fact.name))
        return [self._success_fact(part)] if self._is_news(part) else []

    def is_quarantined(
        self, part_ids: Collection[str], hosts: Collection[str], now: float
    ) -> bool:
        """Return whether a request with these parts must not be sent.

        ``hosts`` are all hosts, one of which may try a quarantined part at times.
        """
        if not self._crashes_by_part:
            return False
        parts = set(map(_digest, part_ids))
        causes = [
            part
            for part in parts
            if self._may_judge(part, now) and self._is_cause(part, parts, now)
        ]
        if not causes:
            return False
        may_try = all(self._may_try(part, hosts, now) for part in causes)
        if may_try:
            self._tried_at_by_part.update(dict.fromkeys(causes, now))
        return not may_try

    def expire(self, now: float) -> list[tuple[str, str]]:
        """Remove outdated evidence, and return the kinds and names of its facts."""
        expired = [
            (part, crash_id)
            for part, crashes in self._crashes_by_part.items()
            for crash_id, crashed_at in crashes.items()
            if crashed_at + RETENTION_SECONDS <= now
        ]
        for part, crash_id in expired:
            self._discard(part, crash_id)
        forgotten = [
            part
            for part, succeeded_at in self._success_by_part.items()
            if succeeded_at + RETENTION_SECONDS <= now
        ]
        for part in forgotten:
            del self._success_by_part[part]
        obsolete = [
            *self._obsolete_facts,
            *((PART_SUCCESS_FACT, part) for part in forgotten),
        ]
        self._obsolete_facts = []
        return obsolete

    def _is_news(self, part: str) -> bool:
        """Return whether the own success of a part changes what hosts conclude."""
        own = self._own_success_by_part.get(part)
        known = self._success_by_part.get(part, 0.0)
        crashes = self._crashes_by_part.get(part)
        if own is None or not crashes or own <= known:
            return False
        return not known or own >= min(crashes.values())

    def _success_fact(self, part: str) -> Fact:
        version = Version(int(self._own_success_by_part[part] * 1000))
        return Fact(PART_SUCCESS_FACT, part, version, b"")

    def _apply_success(self, part: str, succeeded_at: float) -> None:
        self._success_by_part[part] = max(
            succeeded_at, self._success_by_part.get(part, 0.0)
        )
        for crash_id, crashed_at in list(self._crashes_by_part.get(part, {}).items()):
            if crashed_at <= succeeded_at:
                self._discard(part, crash_id)

    def _discard(self, part: str, crash_id: str) -> None:
        crashes = self._crashes_by_part[part]
        del crashes[crash_id]
        self._obsolete_facts.append((PART_CRASH_FACT, f"{part}/{crash_id}"))
        if not crashes:
            del self._crashes_by_part[part]
            del self._suspected_at_by_part[part]
            self._tried_at_by_part.pop(part, None)

    def _may_judge(self, part: str, now: float) -> bool:
        suspected_at = self._suspected_at_by_part.get(part)
        return suspected_at is not None and suspected_at + VERDICT_DELAY_SECONDS <= now

    def _may_try(self, part: str, hosts: Collection[str], now: float) -> bool:
        crashed_at = self._crashes_by_part[part].values()
        doublings = min(max(0, _count(crashed_at) - MIN_CRASHES), MAX_DOUBLINGS)
        delay = min(MIN_TRIAL_DELAY_SECONDS * 2**doublings, RETENTION_SECONDS)
        tried_at = self._tried_at_by_part.get(part, float("-inf"))
        return (
            now >= max(crashed_at) + delay
            and now >= tried_at + TRIAL_SECONDS
            and owner(part, {*hosts, self._host}) == self._host
        )

    def _is_cause(self, part: str, request_parts: Collection[str], now: float) -> bool:
        """Return whether a part of a request is taken for the cause of its crashes."""
        if part in self._success_by_part:
            return self._is_cause_despite_success(part, now)
        crashes = self._crashes_by_part[part]
        count = _count(crashes.values())
        if count < MIN_CRASHES:
            return False
        return all(
            rival in request_parts
            or (
                count >= MAX_UNDECIDED_CRASHES
                and rival_crashes.keys() == crashes.keys()
            )
            for rival, rival_crashes in self._crashes_by_part.items()
            if rival not in self._success_by_part
            and rival_crashes.keys() >= crashes.keys()
        )

    def _is_cause_despite_success(self, part: str, now: float) -> bool:
        """Return whether a part that was served before causes unexplained crashes."""
        explained: set[str] = set()
        for rival, crashes in self._crashes_by_part.items():
            is_unproven = rival not in self._success_by_part
            if is_unproven and _count(crashes.values()) >= MIN_CRASHES:
                explained.update(crashes)
        crashed_at = [
            at
            for crash_id, at in self._crashes_by_part[part].items()
            if crash_id not in explained
        ]
        return (
            _count(crashed_at) >= MIN_CRASHES_AFTER_SUCCESS
            and now < max(crashed_at) + QUARANTINE_AFTER_SUCCESS_SECONDS
        )


def _count(times: Iterable[float]) -> int:
    """Return the number of times, where simultaneous ones count once."""
    count, last = 0, float("-inf")
    for at in sorted(times):
        if at - last >= SIMULTANEOUS_SECONDS:
            count, last = count + 1, at
    return count


def _digest(part_id: str) -> str:
    return blake2b(part_id.encode(), digest_size=DIGEST_BYTES).hexdigest()
