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
from amaranthhollow.serving.http_client import CallFailure

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

    from amaranthhollow.decisions.store_position import StorePosition
    from amaranthhollow.platform.store import StoreClient, StoredItem
    from amaranthhollow.serving.http_client import CallError

__all__ = [
    "Accepted",
    "ConfigurationStore",
    "Rejected",
    "Submission",
    "Superseded",
    "Uncertain",
]

HEAD_KEY = "amaranthhollow/configuration/head"
BODY_PREFIX = "amaranthhollow/configuration/bodies"
MAX_HEAD_ENTRIES = 200
MAX_WRITE_ATTEMPTS = 8
RETRY_INTERVAL_SECONDS = 0.25
# A waiting watch counts as one call. The store ends it after 30 s at the latest.
WATCH_TIMEOUT_SECONDS = 20.0


@dataclass(frozen=True)
class Accepted:
    """The submission was accepted as the revision in ``entry``."""

    entry: HeadEntry


@dataclass(frozen=True)
class Superseded:
    """Other revisions were accepted first; the head was not changed."""

    intervening: tuple[HeadEntry, ...]


@dataclass(frozen=True)
class Rejected:
    """The service could not store the submission; the head was not changed."""

    message: str


@dataclass(frozen=True)
class Uncertain:
    """It is unknown whether the head was changed; look for ``change_id`` in it."""

    change_id: str


@dataclass(frozen=True)
class _WriteAttempt:
    """An event of the chart ``submission``, and the result if no attempt follows."""

    event: str
    result: Submission


Submission = Accepted | Superseded | Rejected | Uncertain


class ConfigurationStore:
    """Stores the bodies of revisions, and a head that lists the newest ones."""

    def __init__(self, store: StoreClient) -> None:
        """Use the service through ``store``."""
        self._store = store
        self._chart = load_chart("submission")

    async def read_head(self) -> Result[RevisionHead, str]:
        """Return the head, which is empty before the first submission."""
        found = await self._store.get(HEAD_KEY)
        if isinstance(found, Err):
            return Err(found.err_value.detail)
        return Ok(_decode_head(found.ok_value))

    async def read_body(self, change_id: str) -> Result[bytes, str]:
        """Return the encoded body of a change."""
        found = await self._store.get(f"{BODY_PREFIX}/{change_id}")
        if isinstance(found, Err):
            return Err(found.err_value.detail)
        if found.ok_value is None:
            return Err(f"configuration body {change_id!r} does not exist")
        return Ok(found.ok_value.value)

    async def read_revision(self, change_id: str) -> Result[RevisionBody, str]:
        """Return the decoded body of a change."""
        return (await self.read_body(change_id)).map(decode_body)

    async def watch_head(self) -> AsyncIterator[RevisionHead]:
        """Yield the current head and each later one.

        Ends when the service is unreachable or no longer has the history since the
        last head.
        """
        listed = await self._store.list(HEAD_KEY)
        if isinstance(listed, Err):
            return
        items, position = listed.ok_value.items, listed.ok_value.position
        while True:
            for item in items:
                yield _decode_head(item)
            watched = await self._store.watch(HEAD_KEY, position, WATCH_TIMEOUT_SECONDS)
            if isinstance(watched, Err) or watched.ok_value is None:
                return
            items, position = watched.ok_value.items, watched.ok_value.position

    async def restore_head(
        self, head: RevisionHead, bodies_by_change_id: Mapping[str, bytes]
    ) -> bool:
        """Store ``head`` again after the service returned from an older copy.

        Returns whether it did: not if the service has a head that ``head`` does not
        follow.
        """
        for change_id, content in list(bodies_by_change_id.items()):
            await self._store_body(change_id, content)
        read = await self._store.get(HEAD_KEY)
        if isinstance(read, Err):
            return False
        stored = _decode_head(read.ok_value)
        is_earlier = stored.revision < head.revision and (
            stored.newest is None or head.find_change(stored.newest.change_id)
        )
        if not is_earlier:
            return False
        position = None if read.ok_value is None else read.ok_value.position
        write = Write(HEAD_KEY, encode_json(head))
        written = await self._store.change({HEAD_KEY: position}, (write,))
        return isinstance(written, Ok) and written.ok_value is not None

    async def submit(self, body: RevisionBody, based_on: int, now: float) -> Submission:
        """Store ``body`` as the revision after ``based_on``, if that is the newest.

        The states are those of the chart ``submission``. If the response to a write
        is lost, the head is read again: the write took effect if the head has the
        change id, and is retried only if the head is unchanged.
        """
        content = encode_json(body)
        change_id = change_id_of(content)
        stored = await self._store_body(change_id, content)
        if isinstance(stored, Err):
            return Rejected(stored.err_value.detail)
        state = self._chart.advance(self._chart.initial_state, "write")
        result: Submission = Uncertain(change_id)
        for _ in range(MAX_WRITE_ATTEMPTS):
            attempt = await self._attempt_write(body, change_id, based_on, now)
            if self._chart.accepts(state, attempt.event):
                state = self._chart.advance(state, attempt.event)
                result = attempt.result
            if state in self._chart.final_states:
                return result
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return result

    async def _store_body(
        self, change_id: str, content: bytes
    ) -> Result[StorePosition | None, CallError]:
        """Create the body; safe to retry, since its key is its digest."""
        key = f"{BODY_PREFIX}/{change_id}"
        for _ in range(MAX_WRITE_ATTEMPTS):
            stored = await self._store.change({key: None}, (Write(key, content),))
            is_definite = isinstance(stored, Ok) or (
                stored.err_value.failure is CallFailure.NOTHING_CHANGED
            )
            if is_definite:
                break
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        return stored

    async def _attempt_write(
        self, body: RevisionBody, change_id: str, based_on: int, now: float
    ) -> _WriteAttempt:
        """Add the change to the head unless the head has it or is newer."""
        read = await self._store.get(HEAD_KEY)
        if isinstance(read, Err):
            return _WriteAttempt("fail", Rejected(read.err_value.detail))
        head = _decode_head(read.ok_value)
        head_position = None if read.ok_value is None else read.ok_value.position
        accepted = head.find_change(change_id)
        if accepted is not None:
            return _WriteAttempt("accept", Accepted(accepted))
        if head.revision != based_on:
            return _WriteAttempt("conflict", Superseded(head.entries_after(based_on)))
        entry = HeadEntry(based_on + 1, change_id, body.author, body.note, now)
        entries = (*head.entries, entry)[-MAX_HEAD_ENTRIES:]
        write = Write(HEAD_KEY, encode_json(RevisionHead(entries)))
        written = await self._store.change({HEAD_KEY: head_position}, (write,))
        if isinstance(written, Err):
            if written.err_value.failure is CallFailure.NOTHING_CHANGED:
                return _WriteAttempt("fail", Rejected(written.err_value.detail))
            return _WriteAttempt("lose_answer", Uncertain(change_id))
        if written.ok_value is None:
            return _WriteAttempt("lose_race", Uncertain(change_id))
        return _WriteAttempt("accept", Accepted(entry))


def _decode_head(item: StoredItem | None) -> RevisionHead:
    return RevisionHead() if item is None else decode_revision_head(item.value)
