"""Keeps evidence of crashes in the store, so that it outlasts the loss of all hosts.

The holder of the duties writes one document, whenever the evidence against requests
that ran at several crashes, or against parts of prompts, has changed. Its writes are
bounded by crashes, and by one in each interval. Every host reads it once at its start.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err, Ok

from amaranthhollow.decisions.gossip import Fact
from amaranthhollow.decisions.prompt_quarantine import (
    PART_CRASH_FACT,
    PART_SUCCESS_FACT,
)
from amaranthhollow.decisions.quarantine import (
    CLEARED_FACT,
    CRASH_FACT,
    SIMULTANEOUS_CRASH_FACT,
    Evidence,
)
from amaranthhollow.decisions.quota import LEVELS_SETTLING_SECONDS
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decoding import Amount, decode_msgpack
from amaranthhollow.entry.duty_lease import era_key, holder_key
from amaranthhollow.platform.names import SYSTEM_KEY_PREFIX
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host

__all__ = ["CRASHES_KEY", "CrashLog", "StoredEvidence"]

CRASHES_KEY = f"{SYSTEM_KEY_PREFIX}duties/crashes"
POLL_INTERVAL_SECONDS = 0.25
# Evidence that is younger is lost with all hosts.
WRITE_INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 0.8
# After a failed call; doubled for each further one.
RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
# The delay is the longest by then.
MAX_FAILURES = 10
# Some 50 kB in the store.
MAX_STORED_FACTS = 500
# Clocks of hosts differ by less, so stored evidence of a later time is absurd.
MAX_FUTURE_SECONDS = 3600.0
SUCCESS_FACTS = frozenset({CLEARED_FACT, PART_SUCCESS_FACT})

log = logbook.Logger("crashes")


class StoredEvidence(msgspec.Struct, frozen=True, array_like=True):
    """The facts about suspects that the holder of the duties has stored."""

    facts: tuple[msgspec.Raw, ...]


class CrashLog:
    """Reads the stored evidence on behalf of one host, and writes it as the holder."""

    def __init__(self, host: Host) -> None:
        """Keep the evidence that ``host`` has."""
        self._host = host
        self._has_read = False
        self._settled_at = float("-inf")
        self._fencing_token = 0
        self._position: StorePosition | None = None
        self._outdated_keys: tuple[str, ...] = ()
        self._stored: frozenset[Fact] = frozenset()
        self._stored_version = -1
        self._next_call_at = 0.0
        self._failure_count = 0
        self._has_unsaved = False

    @property
    def has_settled(self) -> bool:
        """Whether the evidence was read, or callers need not wait for it any longer."""
        is_first_start = self._host.settings.is_first_start
        return self._has_read or is_first_start or now() >= self._settled_at

    async def run(self) -> None:
        """Read the evidence, and write it while this host holds the duties."""
        self._settled_at = now() + LEVELS_SETTLING_SECONDS
        while not self._has_read:
            self._has_read = await self._read()
            if not self._has_read:
                await asyncio.sleep(self._next_call_at - now())
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            await self._update()

    async def _update(self) -> None:
        held_lease = self._host.duty.held_lease
        if held_lease is None or now() < self._next_call_at or not self._may_call():
            return
        if self._fencing_token != held_lease.fencing_token:
            if not await self._read():
                return
            self._fencing_token = held_lease.fencing_token
        version = self._host.crash_detector.evidence_version
        if version == self._stored_version or now() < self._next_call_at:
            return
        facts = frozenset(self._lasting_facts())
        if facts == self._stored:
            self._stored_version = version
        elif self._may_call() and await self._write(facts):
            self._stored_version = version

    def _may_call(self) -> bool:
        return self._host.duty.may_call(now(), CALL_TIMEOUT_SECONDS)

    async def _read(self) -> bool:
        """Merge the evidence of this era and of earlier ones; return success.

        A store that was restored may have the document of an earlier era only.
        """
        store = self._host.store
        listed = await store.list(CRASHES_KEY, CALL_TIMEOUT_SECONDS)
        if isinstance(listed, Err):
            self._record_failure("read", str(listed.err_value))
            return False
        if self._failure_count and not self._has_unsaved:
            self._failure_count = 0
        key = era_key(CRASHES_KEY, store.era)
        self._position, self._stored = None, frozenset()
        self._stored_version = -1
        facts: set[Fact] = set()
        for item in listed.ok_value.items:
            found = self._decode(item.value)
            facts |= found
            if item.key == key:
                self._position, self._stored = item.position, frozenset(found)
        keys = {item.key for item in listed.ok_value.items}
        self._outdated_keys = tuple(sorted(keys - {key}))
        # Good runs first, so that they clear the crashes that follow.
        ordered = sorted(facts, key=lambda fact: fact.kind not in SUCCESS_FACTS)
        self._host.crash_detector.publish(ordered)
        self._host.crash_detector.update_verdicts()
        if facts:
            log.info("crash evidence read", extra={"facts": len(facts)})
        return True

    def _decode(self, value: bytes) -> set[Fact]:
        """Return the readable facts of a document."""
        match decode_msgpack(value, StoredEvidence):
            case Err(error):
                self._report_unreadable(1, error)
                return set()
            case Ok(evidence):
                decoded = [decode_msgpack(raw, Fact) for raw in evidence.facts]
        errors = [found.err_value for found in decoded if isinstance(found, Err)]
        if errors:
            self._report_unreadable(len(errors), errors[0])
        facts = {found.ok_value for found in decoded if isinstance(found, Ok)}
        latest = self._host.wall_time() + MAX_FUTURE_SECONDS
        readable = {fact for fact in facts if _is_evidence(fact, latest)}
        if len(readable) < len(facts):
            count = len(facts) - len(readable)
            self._report_unreadable(count, "no evidence, or of the future")
        return readable

    def _record_failure(self, call: str, error: str) -> None:
        """Count a failed call, log the first one in a row, and delay the next."""
        self._host.metrics.crash_log_failures.increment(call)
        if not self._failure_count:
            extra = {"call": call, "error": error}
            log.warning("crash evidence: call of the store failed", extra=extra)
        seconds = min(RETRY_SECONDS * 2**self._failure_count, MAX_RETRY_SECONDS)
        self._failure_count = min(self._failure_count + 1, MAX_FAILURES)
        self._next_call_at = now() + seconds

    def _report_unreadable(self, count: int, error: str) -> None:
        self._host.metrics.unreadable_evidence.increment("store")
        log.warning(
            "stored crash evidence unreadable; skipped",
            extra={"count": count, "error": error},
        )

    def _lasting_facts(self) -> list[Fact]:
        """Return the facts to store, those of the most crashes first.

        These are the crashes of requests that ran at several, and of parts of prompts,
        with what is known of their good runs.
        """
        table, detector = self._host.membership.table, self._host.crash_detector
        crashes_by_suspect: dict[tuple[str, str], list[Fact]] = {}
        for kind in (CRASH_FACT, SIMULTANEOUS_CRASH_FACT, PART_CRASH_FACT):
            for fact in table.facts_of_kind(kind):
                name = fact.name.partition("/")[0]
                if kind == PART_CRASH_FACT:
                    success_key = (PART_SUCCESS_FACT, name)
                elif detector.has_repeated(name):
                    success_key = (CLEARED_FACT, name)
                else:
                    continue
                crashes_by_suspect.setdefault(success_key, []).append(fact)
        facts: list[Fact] = []
        for success_key, crashes in sorted(
            crashes_by_suspect.items(), key=lambda item: (-len(item[1]), item[0])
        ):
            success = table.get(*success_key)
            facts += crashes if success is None else [success, *crashes]
        return facts[:MAX_STORED_FACTS]

    async def _write(self, facts: frozenset[Fact]) -> bool:
        """Store the evidence, provided that this host still holds the duties."""
        holder_position = StorePosition.from_fencing_token(self._fencing_token)
        key = era_key(CRASHES_KEY, holder_position.era)
        ordered = sorted(facts, key=lambda fact: fact.key)
        encoded = tuple(msgspec.Raw(msgspec.msgpack.encode(fact)) for fact in ordered)
        value = msgspec.msgpack.encode(StoredEvidence(encoded))
        stored = await self._host.store.change(
            {holder_key(holder_position.era): holder_position, key: self._position},
            (Write(key, value),),
            CALL_TIMEOUT_SECONDS,
            tuple(k for k in self._outdated_keys if k != key),
        )
        if isinstance(stored, Err) or stored.ok_value is None:
            # The write may have succeeded although its response was lost, so the next
            # round reads the stored evidence again.
            self._fencing_token = 0
            error = stored.err_value if isinstance(stored, Err) else "condition failed"
            self._has_unsaved = True
            self._record_failure("write", str(error))
            return False
        self._has_unsaved, self._failure_count = False, 0
        self._next_call_at = now() + WRITE_INTERVAL_SECONDS
        self._stored, self._position = facts, stored.ok_value
        self._outdated_keys = ()
        log.info("crash evidence stored", extra={"facts": len(facts)})
        return True


def _is_evidence(fact: Fact, latest: float) -> bool:
    """Return whether a stored fact can be applied, and is of no later time."""
    name = fact.name.partition("/")[0]
    try:
        is_named = bool(bytes.fromhex(name))
    except ValueError:
        return False
    if fact.kind in SUCCESS_FACTS:
        return is_named and fact.version.incarnation <= latest * 1000
    if fact.kind == PART_CRASH_FACT:
        at = decode_msgpack(fact.value, Amount).ok()
    elif fact.kind in (CRASH_FACT, SIMULTANEOUS_CRASH_FACT):
        evidence = decode_msgpack(fact.value, Evidence).ok()
        at = None if evidence is None else evidence.at
    else:
        return False
    return is_named and at is not None and at <= latest
