"""Reads and submits configuration revisions in the key-value service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from amaranthhollow.decisions.configuration import (
    HeadEntry,
    RevisionBody,
    RevisionHead,
    change_id_of,
    decode_body,
    decode_revision_head,
    encode_json,
)
from amaranthhollow.decisions.statechart import load_chart
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.calls import CallFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from amaranthhollow.platform.store import StoreClient, StoredItem
    from amaranthhollow.serving.calls import CallError

__all__ = [
    "Accepted",
    "ConfigurationStore",
    "Refused",
    "Submission",
    "Superseded",
    "Uncertain",
]

HEAD_KEY = "amaranthhollow/configuration/head"
BODY_PREFIX = "amaranthhollow/configuration/bodies"
MAX_HEAD_ENTRIES = 200
MAX_VERIFICATIONS = 8
VERIFY_SECONDS = 0.25
# A waiting watch counts as one call; the store lets it wait for 30 s at most.
WATCH_SECONDS = 20.0


@dataclass(frozen=True)
class Accepted:
    """The submission is in force from this revision on."""

    entry: HeadEntry


@dataclass(frozen=True)
class Superseded:
    """Other revisions were accepted first; nothing was written."""

    came_between: tuple[HeadEntry, ...]


@dataclass(frozen=True)
class Refused:
    """The service did not take the submission; nothing was written."""

    message: str


@dataclass(frozen=True)
class Uncertain:
    """The answer was lost and the service cannot be asked: verify by change id."""

    change_id: str


@dataclass(frozen=True)
class _WriteStep:
    """An event of the chart ``submission``, and the result if it ends there."""

    event: str
    result: Submission


Submission = Accepted | Superseded | Refused | Uncertain


class ConfigurationStore:
    """The head of the revisions and their bodies."""

    def __init__(self, store: StoreClient) -> None:
        """Use the service through ``store``."""
        self._store = store
        self._chart = load_chart("submission")

    async def read_head(self) -> Result[RevisionHead, str]:
        """Return the head, empty before the first submission."""
        found = await self._store.get(HEAD_KEY)
        if isinstance(found, Err):
            return Err(found.err_value.detail)
        return Ok(_head_of(found.ok_value))

    async def read_body(self, change_id: str) -> Result[bytes, str]:
        """Return the encoded body of a change."""
        found = await self._store.get(f"{BODY_PREFIX}/{change_id}")
        if isinstance(found, Err):
            return Err(found.err_value.detail)
        if found.ok_value is None:
            return Err(f"configuration body {change_id!r} does not exist")
        return Ok(found.ok_value.value)

    async def read_revision(self, change_id: str) -> Result[RevisionBody, str]:
        """Return the body of a change."""
        return (await self.read_body(change_id)).map(decode_body)

    async def watch_head(self) -> AsyncIterator[RevisionHead]:
        """Yield the head at each change until the service is lost or forgets some."""
        listed = await self._store.list(HEAD_KEY)
        if isinstance(listed, Err):
            return
        items, revision = listed.ok_value.items, listed.ok_value.revision
        while True:
            for item in items:
                yield _head_of(item)
            watched = await self._store.watch(HEAD_KEY, revision, WATCH_SECONDS)
            if isinstance(watched, Err) or watched.ok_value is None:
                return
            items, revision = watched.ok_value.items, watched.ok_value.revision

    async def submit(self, body: RevisionBody, based_on: int, now: float) -> Submission:
        """Make ``body`` the revision after ``based_on``, if that is the newest.

        The states are those of the chart ``submission``. A write whose answer was
        lost is verified by its change id, and repeated only on the same head.
        """
        content = encode_json(body)
        change_id = change_id_of(content)
        stored = await self._store_body(change_id, content)
        if isinstance(stored, Err):
            return Refused(stored.err_value.detail)
        state = self._chart.advance(self._chart.initial_state, "write")
        result: Submission = Uncertain(change_id)
        for _ in range(MAX_VERIFICATIONS):
            step = await self._write_once(body, change_id, based_on, now)
            if self._chart.accepts(state, step.event):
                state = self._chart.advance(state, step.event)
                result = step.result
            if state in self._chart.final_states:
                return result
            await asyncio.sleep(VERIFY_SECONDS)
        return result

    async def _store_body(
        self, change_id: str, content: bytes
    ) -> Result[int | None, CallError]:
        """Create the body; as its key is its digest, repeating that is harmless."""
        key = f"{BODY_PREFIX}/{change_id}"
        for _ in range(MAX_VERIFICATIONS):
            stored = await self._store.change({key: 0}, (Write(key, content),))
            is_settled = isinstance(stored, Ok) or (
                stored.err_value.failure is CallFailure.NOTHING_CHANGED
            )
            if is_settled:
                break
            await asyncio.sleep(VERIFY_SECONDS)
        return stored

    async def _write_once(
        self, body: RevisionBody, change_id: str, based_on: int, now: float
    ) -> _WriteStep:
        """Read the head, and write it if the change is neither in it nor too late."""
        read = await self._store.get(HEAD_KEY)
        if isinstance(read, Err):
            return _WriteStep("fail", Refused(read.err_value.detail))
        head = _head_of(read.ok_value)
        head_revision = 0 if read.ok_value is None else read.ok_value.revision
        accepted = head.find_change(change_id)
        if accepted is not None:
            return _WriteStep("accept", Accepted(accepted))
        if head.revision != based_on:
            return _WriteStep("conflict", Superseded(head.entries_after(based_on)))
        entry = HeadEntry(based_on + 1, change_id, body.author, body.note, now)
        entries = (*head.entries, entry)[-MAX_HEAD_ENTRIES:]
        write = Write(HEAD_KEY, encode_json(RevisionHead(entries)))
        written = await self._store.change({HEAD_KEY: head_revision}, (write,))
        if isinstance(written, Err):
            if written.err_value.failure is CallFailure.NOTHING_CHANGED:
                return _WriteStep("fail", Refused(written.err_value.detail))
            return _WriteStep("lose_answer", Uncertain(change_id))
        if written.ok_value is None:
            return _WriteStep("lose_race", Uncertain(change_id))
        return _WriteStep("accept", Accepted(entry))


def _head_of(item: StoredItem | None) -> RevisionHead:
    return RevisionHead() if item is None else decode_revision_head(item.value)
