"""The platform's store and cloud API: keys, leases and duties, with their faults."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from aiohttp import web

from tests.standins.base import drop_connection

__all__ = ["StoreStandIn"]

PAGE_ITEMS = 500


@dataclass
class Item:
    value: bytes
    revision: int
    created_at: int
    lease: int = 0

    def wire(self, key: str) -> dict:
        return {
            "key": key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": self.created_at,
            "lease": self.lease,
        }


@dataclass
class StoreStandIn:
    """Faults: ``status`` refuses every call, ``is_silent`` answers none.

    ``refused_addresses`` are turned away while others are served; ``lost_answers``
    writes take effect without an answer; a write in ``late_writes`` seconds.
    """

    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    revision: int = 1
    status: int = 0
    is_silent: bool = False
    refused_addresses: set[str] = field(default_factory=set)
    lost_answers: int = 0
    late_seconds: float = 0.0
    calls: list[str] = field(default_factory=list)
    usage: list[tuple[str, int, dict]] = field(default_factory=list)
    orders: list[tuple[str, int, dict]] = field(default_factory=list)
    refused_zones: set[str] = field(default_factory=set)

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        known = self.items.get(key)
        created = known.created_at if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)

    def put_json(self, key: str, value: object) -> None:
        self.put(key, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1

    async def start(self, address: str, port: int) -> web.AppRunner:
        app = web.Application(middlewares=[self._faults])
        app.router.add_get("/kv-key", self._key)
        app.router.add_get("/kv-range", self._range)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._grant)
        app.router.add_post("/kv-keep/{lease}", self._keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._end)
        app.router.add_post("/usage", self._usage)
        app.router.add_post("/scale", self._scale)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, address, port).start()
        return runner

    @web.middleware
    async def _faults(self, request: web.Request, handler):
        self.calls.append(request.path)
        self._expire()
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.status or request.remote in self.refused_addresses:
            return web.json_response({}, status=self.status or 503)
        if request.path == "/kv-txn" and self.late_seconds:
            await asyncio.sleep(self.late_seconds)
        answer = await handler(request)
        if request.path == "/kv-txn" and self.lost_answers:
            self.lost_answers -= 1
            return drop_connection(request)
        return answer

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [i for i, (at, _) in self.leases.items() if at <= now]:
            self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    async def _key(self, request: web.Request) -> web.Response:
        key = request.query["key"]
        item = self.items.get(key)
        if item is None:
            return web.json_response({"as_of": self.revision}, status=404)
        return web.json_response({**item.wire(key), "as_of": self.revision})

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("start_after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key].wire(key) for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return web.json_response(
            {"items": page, "has_more": more, "as_of": self.revision}
        )

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["expected_rev"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        if any(w["lease"] and w["lease"] not in self.leases for w in body["writes"]):
            return web.json_response({}, status=404)
        for write in body["writes"]:
            if write["key"].startswith(("op/", "servers/")):
                return web.json_response({}, status=403)
            self.put(write["key"], base64.b64decode(write["value"]), write["lease"])
        for key in body["remove"]:
            self.delete(key)
        return web.json_response({"revision": self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        ttl = (await request.json())["ttl_ms"] / 1000
        self.revision += 1
        lease = self.revision
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"lease": lease, "ttl_ms": int(ttl * 1000)})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"ttl_ms": int(ttl * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        self._drop_lease(int(request.match_info["lease"]))
        return web.json_response({})

    async def _usage(self, request: web.Request) -> web.Response:
        return await self._duty(request, self.usage)

    async def _scale(self, request: web.Request) -> web.Response:
        if (await request.json())["zone"] in self.refused_zones:
            return web.json_response({}, status=409)
        return await self._duty(request, self.orders)

    async def _duty(self, request: web.Request, log: list) -> web.Response:
        holder = request.headers["X-Duty-Holder"]
        token = int(request.headers["X-Fence-Token"])
        log.append((holder, token, await request.json()))
        return web.json_response({})
