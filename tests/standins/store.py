"""Stand-in for the platform's store and for its API of duties.

Faults: ``down`` (503), ``refuse_connections``, ``is_silent`` (no answer),
``refused_addresses`` (503 for these callers alone), ``delay_seconds``,
``lose_answers`` (so many writes take effect and get no answer), ``late_writes`` (so
many writes get no answer and take effect ``late_seconds`` later, if their condition
still holds), ``compact`` (the next watch finds its history gone).
"""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

from tests.standins.base import Faults, create_argument_parser, drop_connection, serve

__all__ = ["StoreStandIn"]

PAGE_ITEMS = 500
MAX_VALUE_BYTES = 1 << 20
OPERATORS_PREFIXES = ("op/", "servers/")


@dataclass(frozen=True)
class Item:
    value: bytes
    revision: int
    created_at: int
    lease: int = 0

    def to_document(self, key: str) -> dict:
        return {
            "key": key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": self.created_at,
            "lease": self.lease,
        }


@dataclass
class Lease:
    seconds: float
    expires_at: float


class StoreStandIn:
    """The items, leases and waiting watches of the store."""

    def __init__(self) -> None:
        self.faults = Faults(
            down=False,
            refuse_connections=False,
            is_silent=False,
            refused_addresses=[],
            delay_seconds=0.0,
            lose_answers=0,
            late_writes=0,
            late_seconds=0.3,
            compact=0,
        )
        self.items: dict[str, Item] = {}
        self.usage: list[tuple[str, int, dict]] = []
        self.orders: list[tuple[str, int, dict]] = []
        self._revision = 1
        self._events: list[tuple[int, str, dict]] = []
        self._leases_by_id: dict[int, Lease] = {}
        self._changed = asyncio.Event()
        self._watching = 0
        self._calls_by_kind: Counter[str] = Counter()
        self._bytes_by_kind: Counter[str] = Counter()

    # What a test does as the operator or an endpoint.

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self._revision += 1
        known = self.items.get(key)
        created = known.created_at if known else self._revision
        self.items[key] = Item(value, self._revision, created, lease)
        self._note(key, self.items[key].to_document(key))

    def put_json(self, key: str, value: object) -> None:
        self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._revision += 1
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._note(key, event)

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=4 << 20, middlewares=[self._inject])
        app.router.add_get("/kv-key", self._key)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._grant)
        app.router.add_post("/kv-keep/{lease}", self._keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._end)
        app.router.add_post("/usage", self._report)
        app.router.add_post("/scale", self._scale)
        app.router.add_get("/counts", self._counts)
        app.router.add_get("/dump", self._dump)
        return app

    @web.middleware
    async def _inject(self, request: web.Request, handler):
        kind = request.path.split("/")[1]
        if not kind.startswith("kv-"):
            return await handler(request)
        if self.faults["refuse_connections"]:
            drop_connection(request)
        self._calls_by_kind[kind] += 1
        self._bytes_by_kind[kind] += request.content_length or 0
        if self.faults["is_silent"]:
            await asyncio.sleep(3600)
        if self.faults["delay_seconds"]:
            await asyncio.sleep(self.faults["delay_seconds"])
        if self.faults["down"] or request.remote in self.faults["refused_addresses"]:
            return web.json_response({}, status=503)
        self._expire()
        return await handler(request)

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        item = self.items.get(key)
        if item is None:
            return web.json_response({"as_of": self._revision}, status=404)
        return web.json_response({**item.to_document(key), "as_of": self._revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("start_after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        body = {
            "items": [self.items[key].to_document(key) for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "as_of": self._revision,
        }
        return web.json_response(body)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["start_after"])
        deadline = time.monotonic() + int(request.query["wait_ms"]) / 1000
        if self.faults.consume("compact"):
            return web.json_response({}, status=410)
        self._watching += 1
        try:
            while time.monotonic() < deadline and request.transport is not None:
                if self.faults["down"] or self.faults["refuse_connections"]:
                    drop_connection(request)
                events = [
                    event
                    for revision, key, event in self._events
                    if revision > after and key.startswith(prefix)
                ]
                if events:
                    break
                self._expire()
                await self._wait_for_change()
        finally:
            self._watching -= 1
        return web.json_response({"events": events, "as_of": self._revision})

    async def _wait_for_change(self) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), 0.1)
        except TimeoutError:
            pass

    async def _txn(self, request: web.Request) -> web.Response:
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
            if write["key"].startswith(OPERATORS_PREFIXES):
                return 403
            if len(b64decode(write["value"])) > MAX_VALUE_BYTES:
                return 413
        for write in body["writes"]:
            self.put(write["key"], b64decode(write["value"]), write["lease"])
        for key in body["remove"]:
            self.delete(key)
        return 200

    async def _grant(self, request: web.Request) -> web.Response:
        milliseconds = (await request.json())["ttl_ms"]
        seconds = milliseconds / 1000
        self._revision += 1
        lease = Lease(seconds, time.monotonic() + seconds)
        self._leases_by_id[self._revision] = lease
        return web.json_response({"lease": self._revision, "ttl_ms": milliseconds})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = self._leases_by_id.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.expires_at = time.monotonic() + lease.seconds
        return web.json_response({"ttl_ms": int(lease.seconds * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info["lease"]))
        return web.json_response({})

    async def _report(self, request: web.Request) -> web.Response:
        return await self._duty(request, self.usage)

    async def _scale(self, request: web.Request) -> web.Response:
        return await self._duty(request, self.orders)

    async def _duty(self, request: web.Request, log: list) -> web.Response:
        holder = request.headers["X-Duty-Holder"]
        token = int(request.headers["X-Fence-Token"])
        log.append((holder, token, await request.json()))
        return web.json_response({})

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls_by_kind": self._calls_by_kind,
                "bytes_by_kind": self._bytes_by_kind,
                "watching": self._watching,
            }
        )

    async def _dump(self, request: web.Request) -> web.Response:
        self._expire()
        return web.json_response({k: item.revision for k, item in self.items.items()})

    def _note(self, key: str, event: dict) -> None:
        self._events.append((self._revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease_id, lease in list(self._leases_by_id.items()):
            if lease.expires_at <= now:
                self._drop_lease(lease_id)

    def _drop_lease(self, lease_id: int) -> None:
        self._leases_by_id.pop(lease_id, None)
        for key in [k for k, item in self.items.items() if item.lease == lease_id]:
            self.delete(key)


if __name__ == "__main__":
    options = create_argument_parser(__doc__).parse_args()
    standin = StoreStandIn()
    serve(standin.build_app, standin.faults, options.address, options.port)
