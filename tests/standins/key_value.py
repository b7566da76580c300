"""Stand-in for the key-value service: a subset of etcd's v3 JSON interface.

Faults: ``down`` (503), ``refuse_connections``, ``delay_seconds``, ``lose_answers``
(so many writes take effect and get no answer), ``late_writes`` (so many writes get
no answer and take effect ``late_seconds`` later).
"""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

from tests.standins.base import Faults, arguments, drop_connection, serve


@dataclass
class Value:
    encoded: str
    created: int
    modified: int
    lease: str | None = None


class KeyValueStandIn:
    """The values, leases and watchers of the service."""

    def __init__(self) -> None:
        self.faults = Faults(
            down=False,
            refuse_connections=False,
            delay_seconds=0.0,
            lose_answers=0,
            late_writes=0,
            late_seconds=0.3,
        )
        self._revision = 1
        self._values_by_key: dict[str, Value] = {}
        self._lease_deadlines_by_id: dict[str, float] = {}
        self._lease_seconds_by_id: dict[str, int] = {}
        self._watchers_by_key: dict[str, set[asyncio.Queue[str]]] = {}
        self._calls_by_kind: Counter[str] = Counter()
        self._bytes_by_kind: Counter[str] = Counter()

    def build(self) -> web.Application:
        app = web.Application(client_max_size=4 << 20, middlewares=[self._inject])
        app.router.add_post("/v3/kv/range", self._range)
        app.router.add_post("/v3/kv/txn", self._txn)
        app.router.add_post("/v3/kv/deleterange", self._delete)
        app.router.add_post("/v3/lease/grant", self._grant)
        app.router.add_post("/v3/lease/keepalive", self._keep_alive)
        app.router.add_post("/v3/lease/revoke", self._revoke)
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/counts", self._counts)
        app.router.add_get("/dump", self._dump)
        return app

    @web.middleware
    async def _inject(self, request: web.Request, handler):
        if not request.path.startswith("/v3/"):
            return await handler(request)
        if self.faults["refuse_connections"]:
            drop_connection(request)
        kind = request.path.rsplit("/", 1)[-1]
        self._calls_by_kind[kind] += 1
        self._bytes_by_kind[kind] += request.content_length or 0
        if self.faults["delay_seconds"]:
            await asyncio.sleep(self.faults["delay_seconds"])
        if self.faults["down"]:
            return web.json_response({"error": "unavailable"}, status=503)
        return await handler(request)

    async def _range(self, request: web.Request) -> web.Response:
        key = (await request.json())["key"]
        return self._reply(kvs=self._kvs(key))

    async def _txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults.take("late_writes"):
            delay = self.faults["late_seconds"]
            asyncio.get_running_loop().call_later(delay, self._apply_txn, body)
            drop_connection(request)
        succeeded = self._apply_txn(body)
        if self.faults.take("lose_answers"):
            drop_connection(request)
        return self._reply(succeeded=succeeded)

    def _apply_txn(self, body: dict) -> bool:
        if not all(self._holds(compare) for compare in body["compare"]):
            return False
        for operation in body["success"]:
            put = operation["request_put"]
            self._put(put["key"], put["value"], put.get("lease"))
        return True

    def _holds(self, compare: dict) -> bool:
        value = self._live(compare["key"])
        modified = value.modified if value else 0
        return modified == int(compare["mod_revision"])

    def _put(self, key: str, encoded: str, lease: str | None) -> None:
        if len(b64decode(encoded)) > 1 << 20:
            raise web.HTTPRequestEntityTooLarge(1 << 20, len(encoded))
        self._revision += 1
        known = self._live(key)
        created = known.created if known else self._revision
        self._values_by_key[key] = Value(encoded, created, self._revision, lease)
        event = {"type": "PUT", "kv": self._kvs(key)[0]}
        line = json.dumps({"result": {"events": [event]}}) + "\n"
        for queue in self._watchers_by_key.get(key, ()):
            queue.put_nowait(line)

    async def _delete(self, request: web.Request) -> web.Response:
        key = (await request.json())["key"]
        deleted = self._values_by_key.pop(key, None) is not None
        self._revision += deleted
        return self._reply(deleted=str(int(deleted)))

    async def _grant(self, request: web.Request) -> web.Response:
        seconds = int((await request.json())["TTL"])
        lease_id = str(len(self._lease_deadlines_by_id) + 1)
        self._lease_deadlines_by_id[lease_id] = time.monotonic() + seconds
        self._lease_seconds_by_id[lease_id] = seconds
        return self._reply(ID=lease_id, TTL=str(seconds))

    async def _keep_alive(self, request: web.Request) -> web.Response:
        lease_id = (await request.json())["ID"]
        deadline = self._lease_deadlines_by_id.get(lease_id, 0.0)
        if deadline <= time.monotonic():
            return self._reply(result={"ID": lease_id, "TTL": "0"})
        seconds = self._lease_seconds_by_id[lease_id]
        self._lease_deadlines_by_id[lease_id] = time.monotonic() + seconds
        return self._reply(result={"ID": lease_id, "TTL": str(seconds)})

    async def _revoke(self, request: web.Request) -> web.Response:
        self._lease_deadlines_by_id.pop((await request.json())["ID"], None)
        return self._reply()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        key = (await request.json())["create_request"]["key"]
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'{"result":{"created":true}}\n')
        queue: asyncio.Queue[str] = asyncio.Queue()
        watchers = self._watchers_by_key.setdefault(key, set())
        watchers.add(queue)
        try:
            while self._serves(request):
                try:
                    line = await asyncio.wait_for(queue.get(), 0.1)
                except TimeoutError:
                    continue
                await response.write(line.encode())
        finally:
            watchers.discard(queue)
        return response

    def _serves(self, request: web.Request) -> bool:
        """Tell whether the watcher is still there and the service is up."""
        is_up = not (self.faults["down"] or self.faults["refuse_connections"])
        return is_up and request.transport is not None

    async def _counts(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls_by_kind": self._calls_by_kind,
                "bytes_by_kind": self._bytes_by_kind,
                "watching": sum(map(len, self._watchers_by_key.values())),
            }
        )

    async def _dump(self, request: web.Request) -> web.Response:
        keys = {
            b64decode(k).decode(): v.modified for k, v in self._values_by_key.items()
        }
        return web.json_response(keys)

    def _live(self, key: str) -> Value | None:
        value = self._values_by_key.get(key)
        if value is not None and value.lease is not None:
            deadline = self._lease_deadlines_by_id.get(value.lease, 0.0)
            if deadline <= time.monotonic():
                del self._values_by_key[key]
                return None
        return value

    def _kvs(self, key: str) -> list[dict[str, str]]:
        value = self._live(key)
        if value is None:
            return []
        return [
            {
                "key": key,
                "value": value.encoded,
                "create_revision": str(value.created),
                "mod_revision": str(value.modified),
            }
        ]

    def _reply(self, **fields) -> web.Response:
        header = {"revision": str(self._revision)}
        return web.json_response({"header": header, **fields})


if __name__ == "__main__":
    options = arguments(__doc__).parse_args()
    standin = KeyValueStandIn()
    serve(standin.build, standin.faults, options.address, options.port)
