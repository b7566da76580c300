"""Client of the platform's key-value store."""

from __future__ import annotations

from base64 import b64encode
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import quote

import logbook
import msgspec
from result import Err, Ok, Result

from amaranthhollow.decisions.oversized_items import MAX_ITEM_BYTES
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.platform.store_documents import (
    Changes,
    Lease,
    Snapshot,
    StoredItem,
    WireChanges,
    WireItemAtRevision,
    WireLease,
    WirePage,
    WireRevision,
    Write,
    decode_body,
    decode_changes,
    decode_era,
    decode_item,
    decode_items,
)
from amaranthhollow.serving.clock import now
from amaranthhollow.serving.http_client import Call, CallError, CallFailure, HttpClient

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from amaranthhollow.decisions.oversized_items import OversizedItems

__all__ = ["Changes", "Lease", "Snapshot", "StoreClient", "StoredItem", "Write"]

OK = 200
NOT_FOUND = 404
PRECONDITION_FAILED = 412
TOO_MANY_REQUESTS = 429
SERVICE_UNAVAILABLE = 503
# A page has about 500 items or 1 MB; a site of the target size has fewer than 4 pages.
MAX_PAGES = 1000
# Time to receive a page with one value of the largest size over a link of 5 Mbit/s.
PAGE_SECONDS = 2.5
GONE = 410
# The store responds within milliseconds, or 250 ms when it is slow.
CALL_TIMEOUT_SECONDS = 0.8
# Of the base64 text of a value.
MAX_ENCODED_BYTES = MAX_ITEM_BYTES * 4 // 3
# Of one page; another writer may leave items by the hundred.
MAX_OVERSIZED_LINES = 10
MAX_KEY_LENGTH = 200

log = logbook.Logger("store")


@dataclass(frozen=True)
class _StoreResponse:
    """An accepted response, with the era of the store that sent it."""

    status: int
    body: bytes
    era: int


class StoreClient:
    """Reads and watches items, changes them conditionally, and manages leases.

    A failed call returns a ``CallError`` and raises nothing. ``calls_by_kind`` counts
    the calls. ``era`` is the newest era that this client or a peer has seen: responses
    of an older one are rejected as late, and what was read in an older one is not
    expected to exist any more.
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
        self._on_restored: list[Callable[[int, int], None]] = []
        self.calls_by_kind: Counter[str] = Counter()
        self.era = 0

    def add_restore_listener(self, listener: Callable[[int, int], None]) -> None:
        """Call ``listener`` with the previous and the new era when the era rises."""
        self._on_restored.append(listener)

    def observe_era(self, era: int) -> None:
        """Record an era of the store; a newer one means that it was restored."""
        if era <= self.era:
            return
        previous, self.era = self.era, era
        for listener in self._on_restored:
            listener(previous, era)

    async def get(
        self, key: str, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[StoredItem | None, CallError]:
        """Return the newest state of an item, or None if it does not exist."""
        call = Call(b"GET", f"/kv-key?key={quote(key, safe='')}".encode())
        result = await self._call("get", call, timeout_seconds, (OK, NOT_FOUND))
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == NOT_FOUND:
            return Ok(None)
        return decode_body(response.body, WireItemAtRevision).and_then(
            lambda wire: decode_item(wire, response.era)
        )

    async def list(
        self,
        prefix: str,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        oversized: OversizedItems | None = None,
    ) -> Result[Snapshot, CallError]:
        """Return the newest state of all items under a prefix, or an error.

        With ``oversized``, items that are too large are left out, and are recorded
        there. The position is that of the first page, so that a watch from there
        reports what changed while the other pages were read.
        """
        items: list[StoredItem] = []
        position: StorePosition | None = None
        after = ""
        if oversized is not None:
            oversized.begin(now())
        for _ in range(MAX_PAGES):
            if oversized is not None:
                after = oversized.skip(after)
            read = await self._read_page(prefix, after, timeout_seconds)
            if isinstance(read, Err):
                return read
            page, era = read.ok_value
            position = position or StorePosition(era, page.as_of)
            if era != position.era:
                return Err(_restored_during_call())
            if oversized is None:
                items += decode_items(page.items, era)
            else:
                items += _decode_small_items(page, era, after, oversized)
            if not page.has_more:
                return Ok(Snapshot(tuple(items), position))
            if not page.items or page.items[-1].key <= after:
                return Err(CallError(CallFailure.UNCERTAIN, "pages do not advance"))
            after = page.items[-1].key
        return Err(CallError(CallFailure.UNCERTAIN, "too many pages"))

    async def _read_page(
        self, prefix: str, after: str, timeout_seconds: float
    ) -> Result[tuple[WirePage, int], CallError]:
        """Return a page of a list and the era in which it was read."""
        target = f"/kv-range?prefix={quote(prefix, safe='')}"
        if after:
            target += f"&start_after={quote(after, safe='')}"
        call = Call(b"GET", target.encode(), body_seconds=PAGE_SECONDS)
        result = await self._call("list", call, timeout_seconds, (OK,))
        if isinstance(result, Err):
            return result
        response = result.ok_value
        return decode_body(response.body, WirePage).map(
            lambda page: (page, response.era)
        )

    async def watch(
        self,
        prefix: str,
        after: StorePosition,
        wait_seconds: float,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Result[Changes | None, CallError]:
        """Wait for changes under a prefix; None if the history was discarded.

        Returns without changes after ``wait_seconds``; ``timeout_seconds`` is the time
        beyond it that the response may take.
        """
        if after.era != self.era:
            return Ok(None)
        target = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&start_after={after.revision}&wait_ms={int(wait_seconds * 1000)}"
        )
        call = Call(b"GET", target.encode())
        timeout = wait_seconds + timeout_seconds
        result = await self._call("watch", call, timeout, (OK, GONE))
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.status == GONE or response.era != after.era:
            return Ok(None)
        return decode_body(response.body, WireChanges).map(
            lambda wire: decode_changes(wire, response.era)
        )

    async def change(
        self,
        expected_by_key: Mapping[str, StorePosition | None],
        writes: tuple[Write, ...],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
        removed_keys: tuple[str, ...] = (),
    ) -> Result[StorePosition | None, CallError]:
        """Change all items in one transaction and return its position.

        Changes nothing and returns None if an item is not at its expected position or
        a lease does not exist; None expects that the item does not exist. An item that
        was read in an earlier era counts as changed. If the store is restored during
        the call, the result is uncertain.
        """
        era = self.era
        if any(p is not None and p.era != era for p in expected_by_key.values()):
            return Ok(None)
        body = _encode_change(expected_by_key, writes, removed_keys)
        call = Call(b"POST", b"/kv-txn", body)
        accepted_statuses = (OK, PRECONDITION_FAILED, NOT_FOUND)
        result = await self._call("change", call, timeout_seconds, accepted_statuses)
        if isinstance(result, Err):
            return result
        response = result.ok_value
        if response.era != era:
            return Err(_restored_during_call())
        if response.status != OK:
            return Ok(None)
        return decode_body(response.body, WireRevision).map(
            lambda wire: StorePosition(era, wire.revision)
        )

    async def grant(
        self, ttl_seconds: float, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[Lease, CallError]:
        """Grant a lease; fails if the store was restored since the previous call."""
        era = self.era
        body = msgspec.json.encode({"ttl_ms": int(ttl_seconds * 1000)})
        call = Call(b"POST", b"/kv-lease", body)
        result = await self._call("grant", call, timeout_seconds, (OK,))
        if isinstance(result, Err):
            return result
        if result.ok_value.era != era:
            return Err(_restored_during_call())
        return decode_body(result.ok_value.body, WireLease).map(
            lambda wire: Lease(wire.lease, wire.ttl_ms / 1000, era)
        )

    async def renew(
        self, lease: Lease, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[bool, CallError]:
        """Renew a lease; False if it has expired, was ended or is of an earlier era."""
        if lease.era != self.era:
            return Ok(False)
        call = Call(b"POST", f"/kv-keep/{lease.lease_id}".encode())
        result = await self._call("renew", call, timeout_seconds, (OK, NOT_FOUND))
        return result.map(lambda r: r.status == OK and r.era == lease.era)

    async def end(
        self, lease: Lease, timeout_seconds: float = CALL_TIMEOUT_SECONDS
    ) -> Result[None, CallError]:
        """End a lease and delete the items that are bound to it."""
        if lease.era != self.era:
            return Ok(None)
        call = Call(b"DELETE", f"/kv-lease-end/{lease.lease_id}".encode())
        result = await self._call("end", call, timeout_seconds, (OK, NOT_FOUND))
        return result.map(lambda response: None)

    async def _call(
        self,
        kind: str,
        call: Call,
        timeout_seconds: float,
        accepted_statuses: tuple[int, ...],
    ) -> Result[_StoreResponse, CallError]:
        self.calls_by_kind[kind] += 1
        result = await self._client.call(call, timeout_seconds)
        if isinstance(result, Err):
            self._on_call(kind, False)
            return result
        response = result.ok_value
        status, era = response.status, decode_era(response.headers)
        self._on_call(kind, status in accepted_statuses)
        if era is None:
            return Err(CallError(CallFailure.UNCERTAIN, "era unreadable"))
        self.observe_era(era)
        if status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS):
            return Err(CallError(CallFailure.NOTHING_CHANGED, f"status {status}"))
        if era < self.era:
            return Err(CallError(CallFailure.UNCERTAIN, f"late response of era {era}"))
        if status in accepted_statuses:
            return Ok(_StoreResponse(status, response.body, era))
        return Err(CallError(CallFailure.UNCERTAIN, f"status {status}"))


def _decode_small_items(
    page: WirePage, era: int, after: str, oversized: OversizedItems
) -> tuple[StoredItem, ...]:
    """Return the items of a page that are not too large, and record the others."""
    small = [item for item in page.items if len(item.value) <= MAX_ENCODED_BYTES]
    small_keys = {item.key for item in small}
    new_keys = oversized.record_page(
        after,
        small_keys,
        {item.key for item in page.items} - small_keys,
        not page.has_more,
        now(),
    )
    for key in sorted(new_keys)[:MAX_OVERSIZED_LINES]:
        extra = {"key": key[:MAX_KEY_LENGTH], "of": len(oversized)}
        log.warning("item too large; left out", extra=extra)
    return decode_items(small, era)


def _encode_change(
    expected_by_key: Mapping[str, StorePosition | None],
    writes: tuple[Write, ...],
    removed_keys: tuple[str, ...],
) -> bytes:
    body = {
        "expected_rev": [
            {"key": key, "revision": 0 if position is None else position.revision}
            for key, position in expected_by_key.items()
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
    return msgspec.json.encode(body)


def _restored_during_call() -> CallError:
    return CallError(CallFailure.UNCERTAIN, "the store was restored during the call")
