"""Stand-in for the platform's key-value store and its API for duties.

Faults: ``down`` (status 503), ``refuse_connections``, ``is_silent`` (no response),
``refusing_addresses`` (status 503 at these of the stand-in's addresses, since all
callers on loopback have the same one), ``delay_seconds``, ``value_seconds`` (a delay
of reads of single items only),
``lose_answers`` (so many writes are applied without a response), ``late_writes`` (so
many writes get no response and are applied ``late_seconds`` later, if their condition
still holds), ``compact`` (so many watches get status 410: the history was compacted),
``late_responses`` (so many responses state the era before the last restore).

``take_copy`` and ``restore`` let the store return from an older copy.
"""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections import Counter
from copy import deepcopy
from dataclasses import dataclass

from aiohttp import web

from tests.standins.base import Faults, create_argument_parser, drop_connection, serve

__all__ = ["StoreStandIn"]

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
MAX_VALUE_BYTES = 1 << 20
READ_ONLY_PREFIXES = ("op/", "servers/")


@dataclass(frozen=True)
class Item:
    value: bytes
    revision: int
    create_revision: int
    attached_lease: int = 0

    def to_document(self, key: str) -> dict:
        return {
            "key": key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": self.create_revision,
            "lease": self.attached_lease,
        }


@dataclass(frozen=True)
class StoreCopy:
    """What the store returns to."""

    items: dict[str, Item]
    leases_by_id: dict[int, Lease]
    revision: int


@dataclass
class Lease:
    ttl_seconds: float
    expires_at: float


class StoreStandIn:
    """Holds the items, leases and pending watches of the store."""

    def __init__(self) -> None:
        self.faults = Faults(
            down=False,
            refuse_connections=False,
            is_silent=False,
            refusing_addresses=[],
            delay_seconds=0.0,
            value_seconds=0.0,
            lose_answers=0,
            late_writes=0,
            late_seconds=0.3,
            compact=0,
            late_responses=0,
        )
        self.items: dict[str, Item] = {}
        self.usage: list[tuple[str, int, dict]] = []
        self.orders: list[tuple[str, int, dict]] = []
        self.era = 0
        self.refused_calls = 0
        self._revision = 1
        # What operators and endpoints wrote last; a restore does not affect it.
        self._written_outside: dict[str, bytes] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._leases_by_id: dict[int, Lease] = {}
        self._changed = asyncio.Event()
        self._pending_watches = 0
        self.calls_by_kind: Counter[str] = Counter()
        self.reads_by_key: Counter[str] = Counter()
        self.refused_by_kind: Counter[str] = Counter()
        self._bytes_by_kind: Counter[str] = Counter()

    # Writes that a test makes directly, as an operator or an endpoint would.

    def put(self, key: str, value: bytes, attached_lease: int = 0) -> None:
        self._revision += 1
        existing = self.items.get(key)
        created = existing.create_revision if existing else self._revision
        self.items[key] = Item(value, self._revision, created, attached_lease)
        if key.startswith(READ_ONLY_PREFIXES):
            self._written_outside[key] = value
        self._record_event(key, self.items[key].to_document(key))

    def put_json(self, key: str, value: object) -> None:
        self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        self._written_outside.pop(key, None)
        if self.items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._record_event(key, event)

    def take_copy(self) -> StoreCopy:
        return StoreCopy(dict(self.items), deepcopy(self._leases_by_id), self._revision)

    def restore(self, copy: StoreCopy, rewrite_seconds: float = 1.0) -> None:
        """Return to ``copy``; operators and endpoints write theirs again later."""
        self.era += 1
        self.items = dict(copy.items)
        self._leases_by_id = deepcopy(copy.leases_by_id)
        self._revision = copy.revision
        self._events.clear()
        loop = asyncio.get_running_loop()
        loop.call_later(rewrite_seconds, self._write_again)

    def _write_again(self) -> None:
        written = dict(self._written_outside)
        for key in [k for k in self.items if k.startswith(READ_ONLY_PREFIXES)]:
            if key not in written:
                self.delete(key)
        for key, value in written.items():
            if key not in self.items or self.items[key].value != value:
                self.put(key, value)

    def build_app(self) -> web.Application:
        app = web.Application(
            client_max_size=4 << 20, middlewares=[self._inject_faults]
        )
        app.router.add_get("/kv-key", self._get_key)
        app.router.add_get("/kv-range", self._list_range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._commit)
        app.router.add_post("/kv-lease", self._grant_lease)
        app.router.add_post("/kv-keep/{lease}", self._renew_lease)
        app.router.add_delete("/kv-lease-end/{lease}", self._end_lease)
        app.router.add_post("/usage", self._record_usage)
        app.router.add_post("/scale", self._record_order)
        app.router.add_get("/counts", self._get_counts)
        app.router.add_get("/dump", self._dump_revisions)
        return app

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler):
        kind = request.path.split("/")[1]
        if not kind.startswith("kv-"):
            return await handler(request)
        if self.faults["refuse_connections"]:
            drop_connection(request)
        self.calls_by_kind[kind] += 1
        self._bytes_by_kind[kind] += request.content_length or 0
        if self.faults["is_silent"]:
            await asyncio.sleep(3600)
        if self.faults["delay_seconds"]:
            await asyncio.sleep(self.faults["delay_seconds"])
        if self.faults["down"] or self._is_refusing(request):
            self.refused_calls += 1
            self.refused_by_kind[kind] += 1
            return web.json_response({}, status=503)
        self._expire_leases()
        response = await handler(request)
        era = self.era - self.faults.consume("late_responses")
        if era > 0:
            response.headers["Store-Era"] = str(era)
        return response

    def _is_refusing(self, request: web.Request) -> bool:
        if request.transport is None:
            return False
        address, _ = request.transport.get_extra_info("sockname")
        return address in self.faults["refusing_addresses"]

    async def _get_key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        self.reads_by_key[key] += 1
        if self.faults["value_seconds"]:
            await asyncio.sleep(self.faults["value_seconds"])
        item = self.items.get(key)
        if item is None:
            return web.json_response({"as_of": self._revision}, status=404)
        return web.json_response({**item.to_document(key), "as_of": self._revision})

    async def _list_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("start_after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key].value)
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key].to_document(key))
        body = {
            "items": page,
            "has_more": len(keys) > len(page),
            "as_of": self._revision,
        }
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["start_after"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000
        if self.faults.consume("compact") or after > self._revision:
            return web.json_response({}, status=410)
        self._pending_watches += 1
        try:
            while request.transport is not None:
                if self.faults["down"] or self.faults["refuse_connections"]:
                    drop_connection(request)
                self._expire_leases()
                events = self._events_after(after, prefix)
                if events or time.monotonic() >= deadline:
                    return web.json_response(
                        {"events": events, "as_of": self._revision}
                    )
                await self._wait_for_change()
        finally:
            self._pending_watches -= 1
        drop_connection(request)

    def _events_after(self, after: int, prefix: str) -> list[dict]:
        return [
            event
            for revision, key, event in self._events
            if revision > after and key.startswith(prefix)
        ]

    async def _wait_for_change(self) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), 0.1)
        except TimeoutError:
            pass

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.consume("late_writes"):
            delay = self.faults["late_seconds"]
            asyncio.get_running_loop().call_later(delay, self._apply, body)
            drop_connection(request)
        status = self._apply(body)
        if self.faults.consume("lose_answers"):
            drop_connection(request)
        return web.json_response({"revision": self._revision}, status=status)

    def _apply(self, body: dict) -> int:
        for row in body["expected_rev"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in self._leases_by_id:
                return 404
            if write["key"].startswith(READ_ONLY_PREFIXES):
                return 403
            if len(b64decode(write["value"])) > MAX_VALUE_BYTES:
                return 413
        for write in body["writes"]:
            self.put(write["key"], b64decode(write["value"]), write["lease"])
        for key in body["remove"]:
            self.delete(key)
        return 200

    async def _grant_lease(self, request: web.Request) -> web.Response:
        milliseconds = (await request.json())["ttl_ms"]
        seconds = milliseconds / 1000
        self._revision += 1
        lease = Lease(seconds, time.monotonic() + seconds)
        self._leases_by_id[self._revision] = lease
        return web.json_response({"lease": self._revision, "ttl_ms": milliseconds})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self._leases_by_id.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.expires_at = time.monotonic() + lease.ttl_seconds
        return web.json_response({"ttl_ms": int(lease.ttl_seconds * 1000)})

    async def _end_lease(self, request: web.Request) -> web.Response:
        self._remove_lease(int(request.match_info["lease"]))
        return web.json_response({})

    async def _record_usage(self, request: web.Request) -> web.Response:
        return await self._record_duty(request, self.usage)

    async def _record_order(self, request: web.Request) -> web.Response:
        return await self._record_duty(request, self.orders)

    async def _record_duty(self, request: web.Request, log: list) -> web.Response:
        holder = request.headers["X-Duty-Holder"]
        token = int(request.headers["X-Fence-Token"])
        log.append((holder, token, await request.json()))
        return web.json_response({})

    async def _get_counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls_by_kind": self.calls_by_kind,
                "bytes_by_kind": self._bytes_by_kind,
                "watching": self._pending_watches,
            }
        )

    async def _dump_revisions(self, request: web.Request) -> web.Response:
        self._expire_leases()
        return web.json_response({k: item.revision for k, item in self.items.items()})

    def _record_event(self, key: str, event: dict) -> None:
        self._events.append((self._revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease_id, lease in list(self._leases_by_id.items()):
            if lease.expires_at <= now:
                self._remove_lease(lease_id)

    def _remove_lease(self, lease_id: int) -> None:
        self._leases_by_id.pop(lease_id, None)
        for key in [
            k for k, item in self.items.items() if item.attached_lease == lease_id
        ]:
            self.delete(key)


if __name__ == "__main__":
    options = create_argument_parser(__doc__).parse_args()
    standin = StoreStandIn()
    serve(standin.build_app, standin.faults, options.address, options.port)
