"""Client of the platform's key-value store."""

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
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# A page has about 500 items; a site of the target size has fewer than 4 pages.
MAX_PAGES = 16
GONE = 410
# The store responds within milliseconds, or 250 ms when it is slow.
CALL_TIMEOUT_SECONDS = 0.8

Wire = TypeVar("Wire", bound=msgspec.Struct)


@dataclass(frozen=True)
class StoredItem:
    """A value with the revisions at which it was last changed and created."""

    key: str
    value: bytes
    revision: int
    created_at_revision: int


@dataclass(frozen=True)
class Snapshot:
    """Items and the revision of the store at which they were read."""

    items: tuple[StoredItem, ...]
    revision: int


@dataclass(frozen=True)
class Changes:
    """Items written after a revision, and the revision from which to watch next.

    ``deleted_keys`` are the keys of deleted items.
    """

    items: tuple[StoredItem, ...]
    deleted_keys: tuple[str, ...]
    revision: int


@dataclass(frozen=True)
class Write:
    """A value to be written, bound to a lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True)
class Lease:
    """A granted lease; its time to live runs from the arrival of the call."""

    lease_id: int
    ttl_seconds: float


class WireItem(msgspec.Struct, frozen=True):
    """An item in a response of the store."""

    key: str
    revision: int
    value: str = ""
    # The revision at which the item was created.
    create_rev: int = 0
    # Only in the response to a watch.
    deleted: bool = False


class WireItemAtRevision(WireItem, frozen=True):
    """The response to a read of one item; ``as_of`` is the store's revision."""

    as_of: int = 0


class WirePage(msgspec.Struct, frozen=True):
    """A page of items in the response to a list."""

    items: list[WireItem]
    as_of: int
    has_more: bool = False


class WireChanges(msgspec.Struct, frozen=True):
    """The response to a watch."""

    events: list[WireItem]
    as_of: int


class WireRevision(msgspec.Struct, frozen=True):
    """The response to a change."""

    revision: int


class WireLease(msgspec.Struct, frozen=True):
    """The response to the grant or renewal of a lease."""

    ttl_ms: float
    lease: int = 0


class StoreClient:
    """Reads and watches items, changes them conditionally, and manages leases.

    A failed call returns a ``CallError`` and raises nothing. ``calls_by_kind`` counts
    the calls.
    """

    def __init__(
        self,
        client: HttpClient,
        on_call: Callable[[str, bool], None] = lambda kind, succeeded: None,
    ) -> None:
        """Use the store through ``client``.

        ``on_call`` is called with the kind of each call and whether it succeeded.
        """
        self._client = client
        self._on_call = on_call
        self.calls_by_kind: Counter[str] = Counter()

    async def get(
        self, key: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[StoredItem | None, CallError]:
        """Return the newest state of an item, or None if it does not exist."""
        call = Call(b"GET", f"/kv-key?key={quote(key, safe='')}".encode())
        result = await self._call("get", call, timeout_seconds, (OK, NOT_FOUND))
        if isinstance(result, Err):
            return result
        status, body = result.ok_value
        if status == NOT_FOUND:
            return Ok(None)
        return _decode(body, WireItemAtRevision).and_then(_decode_item)

    async def list(
        self, prefix: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[Snapshot, CallError]:
        """Return the newest state of all items under a prefix.

        The revision is that of the first page, so that a watch from there reports
        what changed while the other pages were read.
        """
        items: list[StoredItem] = []
        revision = 0
        after = ""
        for _ in range(MAX_PAGES):
            target = f"/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                target += f"&start_after={quote(after, safe='')}"
            call = Call(b"GET", target.encode())
            result = await self._call("list", call, timeout_seconds, (OK,))
            if isinstance(result, Err):
                return result
            decoded = _decode(result.ok_value[1], WirePage)
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value
            revision = revision or page.as_of
            items += [
                _decode_item(item).unwrap_or(_placeholder_item(item))
                for item in page.items
            ]
            if not page.has_more or not page.items:
                break
            after = page.items[-1].key
        return Ok(Snapshot(tuple(items), revision))

    async def watch(
        self, prefix: str, after_revision: int, wait_seconds: float
    ) -> Result[Changes | None, CallError]:
        """Wait for changes under a prefix; None if the history was discarded.

        Returns without changes after ``wait_seconds``.
        """
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&start_after={after_revision}&wait_ms={int(wait_seconds * 1000)}"
        )
        call = Call(b"GET", target.encode())
        timeout = wait_seconds + CALL_TIMEOUT_SECONDS
        result = await self._call("watch", call, timeout, (OK, GONE))
        if isinstance(result, Err):
            return result
        status, body = result.ok_value
        if status == GONE:
            return Ok(None)
        return _decode(body, WireChanges).map(_decode_changes)

    async def change(
        self,
        expected_revisions: dict[str, int],
        writes: tuple[Write, ...],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        removed_keys: tuple[str, ...] = (),
    ) -> Result[int | None, CallError]:
        """Change all items in one transaction and return the new revision.

        Changes nothing and returns None if an item is not at its expected revision
        or a lease does not exist. Revision 0 expects that the item does not exist.
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
            "remove": list(removed_keys),
        }
        call = Call(b"POST", b"/kv-txn", msgspec.json.encode(body))
        accepted_statuses = (OK, PRECONDITION_FAILED, NOT_FOUND)
        result = await self._call("change", call, timeout_seconds, accepted_statuses)
        if isinstance(result, Err):
            return result
        status, content = result.ok_value
        if status != OK:
            return Ok(None)
        return _decode(content, WireRevision).map(lambda wire: wire.revision)

    async def grant(
        self, ttl_seconds: float, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[Lease, CallError]:
        """Grant a lease."""
        body = msgspec.json.encode({"ttl_ms": int(ttl_seconds * 1000)})
        call = Call(b"POST", b"/kv-lease", body)
        result = await self._call("grant", call, timeout_seconds, (OK,))
        if isinstance(result, Err):
            return result
        return _decode(result.ok_value[1], WireLease).map(
            lambda wire: Lease(wire.lease, wire.ttl_ms / 1000)
        )

    async def renew(
        self, lease_id: int, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[bool, CallError]:
        """Renew a lease; False if it has expired or was ended."""
        call = Call(b"POST", f"/kv-keep/{lease_id}".encode())
        result = await self._call("renew", call, timeout_seconds, (OK, NOT_FOUND))
        return result.map(lambda pair: pair[0] == OK)

    async def end(
        self, lease_id: int, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[None, CallError]:
        """End a lease and delete the items that are bound to it."""
        call = Call(b"DELETE", f"/kv-lease-end/{lease_id}".encode())
        result = await self._call("end", call, timeout_seconds, (OK, NOT_FOUND))
        return result.map(lambda pair: None)

    async def _call(
        self,
        kind: str,
        call: Call,
        timeout_seconds: float,
        accepted_statuses: tuple[int, ...],
    ) -> Result[tuple[int, bytes], CallError]:
        self.calls_by_kind[kind] += 1
        result = await self._client.call(call, timeout_seconds)
        if isinstance(result, Err):
            self._on_call(kind, False)
            return result
        status = result.ok_value.status
        self._on_call(kind, status in accepted_statuses)
        if status in accepted_statuses:
            return Ok((status, result.ok_value.body))
        if status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS):
            return Err(CallError(CallFailure.NOTHING_CHANGED, f"status {status}"))
        return Err(CallError(CallFailure.UNCERTAIN, f"status {status}"))


def _decode(body: bytes, model: type[Wire]) -> Result[Wire, CallError]:
    try:
        return Ok(msgspec.json.decode(body, type=model))
    except msgspec.DecodeError as error:
        return Err(CallError(CallFailure.UNCERTAIN, str(error)))


def _decode_item(wire: WireItem) -> Result[StoredItem, CallError]:
    try:
        value = b64decode(wire.value, validate=True)
    except (Base64Error, ValueError) as error:
        return Err(CallError(CallFailure.UNCERTAIN, f"{wire.key}: {error}"))
    return Ok(StoredItem(wire.key, value, wire.revision, wire.create_rev))


def _decode_changes(wire: WireChanges) -> Changes:
    written = [event for event in wire.events if not event.deleted]
    return Changes(
        tuple(
            _decode_item(event).unwrap_or(_placeholder_item(event)) for event in written
        ),
        tuple(event.key for event in wire.events if event.deleted),
        wire.as_of,
    )


def _placeholder_item(wire: WireItem) -> StoredItem:
    """Return an item with an empty value, which its decoder rejects as malformed."""
    return StoredItem(wire.key, b"", wire.revision, wire.create_rev)
