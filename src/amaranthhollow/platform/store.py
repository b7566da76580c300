"""Client of the platform's metadata store."""

from __future__ import annotations

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from amaranthhollow.serving.http_client import Call, CallError, CallFailure, HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Changes", "Lease", "Snapshot", "StoreClient", "StoredItem", "Write"]

OK = 200
NOT_FOUND = 404
CONFLICT = 412
TOO_MANY = 429
UNAVAILABLE = 503
# A page holds about 500 items; a site of the target's size has less than 4 pages.
MAX_PAGES = 16
GONE = 410
# The store answers in milliseconds, and in a quarter of a second when it is slow.
CALL_TIMEOUT_SECONDS = 0.8

Wire = TypeVar("Wire", bound=msgspec.Struct)


@dataclass(frozen=True)
class StoredItem:
    """A value with the revisions of its last change and of its creation."""

    key: str
    value: bytes
    revision: int
    created_at_revision: int


@dataclass(frozen=True)
class Snapshot:
    """Items and the store's revision when they were read."""

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """Items as they were written after a revision, and the revision to go on from.

    What was deleted is named in ``deleted_keys``.
    """

    items: tuple[StoredItem, ...]
    deleted_keys: tuple[str, ...]
    revision: int


@dataclass(frozen=True)
class Write:
    """A value to be written, under a lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True)
class Lease:
    """A granted lease and how long it runs from the arrival of the call."""

    lease_id: int
    ttl_seconds: float


class WireItem(msgspec.Struct, frozen=True):
    """An item as the store sends it."""

    key: str
    revision: int
    value: str = ""
    # The revision of the item's creation.
    create_rev: int = 0
    # Only in the answer to a watch.
    deleted: bool = False


class WireKey(WireItem, frozen=True):
    """One item with the store's revision."""

    as_of: int = 0


class WireRange(msgspec.Struct, frozen=True):
    """A page of items."""

    items: list[WireItem]
    as_of: int
    has_more: bool = False


class WireChanges(msgspec.Struct, frozen=True):
    """The answer to a watch."""

    events: list[WireItem]
    as_of: int


class WireRevision(msgspec.Struct, frozen=True):
    """The answer to a change."""

    revision: int


class WireLease(msgspec.Struct, frozen=True):
    """The answer to a grant or a renewal."""

    ttl_ms: float
    lease: int = 0


class StoreClient:
    """Reads, changes under a condition, and leases; nothing is raised."""

    def __init__(
        self,
        caller: HttpClient,
        on_call: Callable[[str, bool], None] = lambda kind, succeeded: None,
    ) -> None:
        """Call through ``caller``; ``on_call`` hears of each call and its success."""
        self._caller = caller
        self._on_call = on_call
        self.calls_by_kind: Counter[str] = Counter()

    async def get(
        self, key: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[StoredItem | None, CallError]:
        """Return the newest state of an item, or None if there is none."""
        call = Call(b"GET", f"/kv-key?key={quote(key, safe='')}".encode())
        answer = await self._call("get", call, timeout_seconds, (OK, NOT_FOUND))
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == NOT_FOUND:
            return Ok(None)
        return _decode(body, WireKey).and_then(_item)

    async def list(
        self, prefix: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[Snapshot, CallError]:
        """Return the newest state of all items under a prefix.

        The revision is that of the first page: what changed meanwhile is new.
        """
        items: list[StoredItem] = []
        revision = 0
        after = ""
        for _ in range(MAX_PAGES):
            target = f"/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                target += f"&start_after={quote(after, safe='')}"
            call = Call(b"GET", target.encode())
            answer = await self._call("list", call, timeout_seconds, (OK,))
            if isinstance(answer, Err):
                return answer
            decoded = _decode(answer.ok_value[1], WireRange)
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value
            revision = revision or page.as_of
            items += [_item(item).unwrap_or(_unreadable(item)) for item in page.items]
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return Ok(Snapshot(tuple(items), revision))

    async def watch(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> Result[Changes | None, CallError]:
        """Wait for changes under a prefix; None if that history is forgotten."""
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&start_after={after_revision}&wait_ms={int(wait_seconds * 1000)}"
        )
        call = Call(b"GET", target.encode())
        timeout = wait_seconds + CALL_TIMEOUT_SECONDS
        answer = await self._call("watch", call, timeout, (OK, GONE))
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == GONE:
            return Ok(None)
        return _decode(body, WireChanges).map(_changes)

    async def change(
        self,
        expected_revisions: dict[str, int],
        writes: tuple[Write, ...],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        removed: tuple[str, ...] = (),
    ) -> Result[int | None, CallError]:
        """Change all items or none; None if one was at another revision.

        Revision 0 expects that there is no such item. Returns the new revision.
        """
        body = {
            "expected_rev": [
                {"key": key, "revision": revision}
                for key, revision in expected_revisions.items()
            ],
            "writes": [
                {
                    "key": write.key,
                    "value": b64encode(write.value).decode(),
                    "lease": write.lease_id,
                }
                for write in writes
            ],
            "remove": list(removed),
        }
        call = Call(b"POST", b"/kv-txn", msgspec.json.encode(body))
        accepted = (OK, CONFLICT, NOT_FOUND)
        answer = await self._call("change", call, timeout_seconds, accepted)
        if isinstance(answer, Err):
            return answer
        status, content = answer.ok_value
        if status != OK:
            return Ok(None)
        return _decode(content, WireRevision).map(lambda wire: wire.revision)

    async def grant(
        self, ttl_seconds: float, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[Lease, CallError]:
        """Grant a lease."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_seconds * 1000)})
        call = Call(b"POST", b"/kv-lease", body)
        answer = await self._call("grant", call, timeout_seconds, (OK,))
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value[1], WireLease).map(
            lambda wire: Lease(wire.lease, wire.ttl_ms / 1000)
        )

    async def renew(
        self, lease_id: int, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[bool, CallError]:
        """Renew a lease; False if it has ended."""
        call = Call(b"POST", f"/kv-keep/{lease_id}".encode())
        answer = await self._call("renew", call, timeout_seconds, (OK, NOT_FOUND))
        return answer.map(lambda pair: pair[0] == OK)

    async def end(
        self, lease_id: int, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[None, CallError]:
        """End a lease, which removes its items."""
        call = Call(b"DELETE", f"/kv-lease-end/{lease_id}".encode())
        answer = await self._call("end", call, timeout_seconds, (OK, NOT_FOUND))
        return answer.map(lambda pair: None)

    async def _call(
        self, kind: str, call: Call, timeout_seconds: float, accepted: tuple[int, ...]
    ) -> Result[tuple[int, bytes], CallError]:
        self.calls_by_kind[kind] += 1
        answer = await self._caller.call(call, timeout_seconds)
        if isinstance(answer, Err):
            self._on_call(kind, False)
            return answer
        status = answer.ok_value.status
        self._on_call(kind, status in accepted)
        if status in accepted:
            return Ok((status, answer.ok_value.body))
        if status in (UNAVAILABLE, TOO_MANY):
            return Err(CallError(CallFailure.NOTHING_CHANGED, f"status {status}"))
        return Err(CallError(CallFailure.UNCERTAIN, f"status {status}"))


def _decode(body: bytes, model: type[Wire]) -> Result[Wire, CallError]:
    try:
        return Ok(msgspec.json.decode(body, type=model))
    except msgspec.DecodeError as error:
        return Err(CallError(CallFailure.UNCERTAIN, str(error)))


def _item(wire: WireItem) -> Result[StoredItem, CallError]:
    try:
        value = b64decode(wire.value, validate=True)
    except (Base64Error, ValueError) as error:
        return Err(CallError(CallFailure.UNCERTAIN, f"{wire.key}: {error}"))
    return Ok(StoredItem(wire.key, value, wire.revision, wire.create_rev))


def _changes(wire: WireChanges) -> Changes:
    written = [event for event in wire.events if not event.deleted]
    return Changes(
        tuple(_item(event).unwrap_or(_unreadable(event)) for event in written),
        tuple(event.key for event in wire.events if event.deleted),
        wire.as_of,
    )


def _unreadable(wire: WireItem) -> StoredItem:
    """Stand for an item whose value cannot be read: its reader finds it malformed."""
    return StoredItem(wire.key, b"", wire.revision, wire.create_rev)
