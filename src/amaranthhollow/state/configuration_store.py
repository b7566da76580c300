"""Reads and submits configuration revisions in the key-value service."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from amaranthhollow.decisions.configuration import (
    Body,
    HeadEntry,
    RevisionHead,
    change_id_of,
    decode_body,
    decode_revision_head,
    encode,
)
from amaranthhollow.decisions.statechart import load_chart
from amaranthhollow.state.key_value import CallFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from amaranthhollow.state.key_value import KeyValueClient, KeyValueError

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

    def __init__(self, key_value: KeyValueClient) -> None:
        """Use the service through ``key_value``."""
        self._key_value = key_value
        self._chart = load_chart("submission")

    async def read_head(self) -> Result[RevisionHead, str]:
        """Return the head, empty before the first submission."""
        entry = await self._key_value.get(HEAD_KEY)
        if isinstance(entry, Err):
            return Err(entry.err_value.message)
        return Ok(decode_revision_head(entry.ok_value.value))

    async def read_body(self, change_id: str) -> Result[bytes, str]:
        """Return the encoded body of a change."""
        entry = await self._key_value.get(f"{BODY_PREFIX}/{change_id}")
        if isinstance(entry, Err):
            return Err(entry.err_value.message)
        if not entry.ok_value.revision:
            return Err(f"configuration body {change_id!r} does not exist")
        return Ok(entry.ok_value.value)

    async def read_revision(self, change_id: str) -> Result[Body, str]:
        """Return the body of a change."""
        return (await self.read_body(change_id)).map(decode_body)

    async def watch_head(self) -> AsyncIterator[RevisionHead]:
        """Yield the head at each change until the connection ends."""
        async for entry in self._key_value.watch(HEAD_KEY):
            yield decode_revision_head(entry.value)

    async def submit(self, body: Body, based_on: int, now: float) -> Submission:
        """Make ``body`` the revision after ``based_on``, if that is the newest.

        The states are those of the chart ``submission``. A write whose answer was
        lost is verified by its change id, and repeated only on the same head.
        """
        content = encode(body)
        change_id = change_id_of(content)
        stored = await self._store_body(change_id, content)
        if isinstance(stored, Err):
            return Refused(stored.err_value.message)
        state = self._chart.advance(self._chart.initial, "write")
        result: Submission = Uncertain(change_id)
        for _ in range(MAX_VERIFICATIONS):
            step = await self._write_once(body, change_id, based_on, now)
            if self._chart.accepts(state, step.event):
                state = self._chart.advance(state, step.event)
                result = step.result
            if state in self._chart.finals:
                return result
            await asyncio.sleep(VERIFY_SECONDS)
        return result

    async def _store_body(
        self, change_id: str, content: bytes
    ) -> Result[int | None, KeyValueError]:
        """Create the body; as its key is its digest, repeating that is harmless."""
        for _ in range(MAX_VERIFICATIONS):
            stored = await self._key_value.put_if(
                f"{BODY_PREFIX}/{change_id}", content, 0
            )
            is_settled = isinstance(stored, Ok) or (
                stored.err_value.failure is CallFailure.NOTHING_CHANGED
            )
            if is_settled:
                break
            await asyncio.sleep(VERIFY_SECONDS)
        return stored

    async def _write_once(
        self, body: Body, change_id: str, based_on: int, now: float
    ) -> _WriteStep:
        """Read the head, and write it if the change is neither in it nor too late."""
        read = await self._key_value.get(HEAD_KEY)
        if isinstance(read, Err):
            return _WriteStep("unread", Refused(read.err_value.message))
        head = decode_revision_head(read.ok_value.value)
        accepted = head.find_change(change_id)
        if accepted is not None:
            return _WriteStep("accept", Accepted(accepted))
        if head.revision != based_on:
            return _WriteStep("conflict", Superseded(head.after(based_on)))
        entry = HeadEntry(based_on + 1, change_id, body.author, body.note, now)
        entries = (*head.entries, entry)[-MAX_HEAD_ENTRIES:]
        written = await self._key_value.put_if(
            HEAD_KEY, encode(RevisionHead(entries)), read.ok_value.revision
        )
        if isinstance(written, Err):
            if written.err_value.failure is CallFailure.NOTHING_CHANGED:
                return _WriteStep("unread", Refused(written.err_value.message))
            return _WriteStep("doubt", Uncertain(change_id))
        if written.ok_value is None:
            return _WriteStep("lost_race", Uncertain(change_id))
        return _WriteStep("accept", Accepted(entry))
