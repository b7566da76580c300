"""Stand-ins of the platform's store and cloud API, by PROTOCOL.md."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from http11 import Request, read_request, response_bytes, start_server

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Call", "Cloud", "Store"]

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
READ_ONLY_PREFIXES = ("op/", "servers/")
JSON_TYPE = {"Content-Type": "application/json"}


@dataclass
class Item:
    """One item of the store."""

    value: bytes
    revision: int
    create_revision: int
    lease: int = 0

    def document(self, key: str) -> dict:
        """Return the item as the store sends it."""
        return {
            "key": key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": self.create_revision,
            "lease": self.lease,
        }


class Store:
    """The key-value store; ``answers`` may delay or drop what it answers.

    ``on_call`` gets the host (by its address) and the request of each call. What it
    returns decides: None answers, a number of seconds answers that late, "drop" does
    what the call asks and closes the connection without an answer, and "refuse"
    answers 503 and does nothing.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.on_call: Callable[[str, Request], object] = lambda host, request: None
        self.calls: list[tuple[float, str, str, str]] = []
        self._changed = asyncio.Event()

    async def start(self, address: str, port: int) -> None:
        """Serve the store."""
        await start_server(self._serve, address, port)

    def put_json(self, key: str, value: object) -> int:
        """Write as the operator or a server does, and return the revision."""
        self._put(key, json.dumps(value).encode(), 0)
        return self.revision

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write bytes, as another writer may."""
        self._put(key, value, 0)

    def delete(self, key: str) -> None:
        """Delete an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._record(key, event)

    def _put(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        created = known.create_revision if known else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self._record(key, self.items[key].document(key))

    def _record(self, key: str, event: dict) -> None:
        self.events.append((self.revision, key, event))
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self) -> None:
        """End the leases that have run out."""
        instant = time.monotonic()
        for lease, (_, expires_at) in list(self.leases.items()):
            if expires_at <= instant:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self.delete(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info("peername")[0]
        while (request := await read_request(reader)) is not None:
            self.expire()
            verdict = self.on_call(host, request)
            self.calls.append((time.time(), host, request.method, request.target))
            if verdict == "refuse":
                writer.write(response_bytes(503, JSON_TYPE, b"{}"))
                continue
            status, body = await self._answer(request)
            if verdict == "drop":
                writer.transport.abort()
                return
            if isinstance(verdict, int | float):
                await asyncio.sleep(verdict)
            content = json.dumps(body).encode()
            writer.write(response_bytes(status, JSON_TYPE, content))

    async def _answer(self, request: Request) -> tuple[int, dict]:
        path, query = request.path, request.query
        match path.split("/")[1]:
            case "kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"as_of": self.revision}
                return 200, {**item.document(query["key"]), "as_of": self.revision}
            case "kv-range":
                return 200, self._range(query["prefix"], query.get("start_after", ""))
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._commit(json.loads(request.body))
            case "kv-lease":
                ttl_ms = max(1000, json.loads(request.body)["ttl_ms"])
                self.revision += 1
                lease = self.revision
                seconds = ttl_ms / 1000
                self.leases[lease] = (seconds, time.monotonic() + seconds)
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            case "kv-keep":
                lease = int(path.split("/")[2])
                if lease not in self.leases:
                    return 404, {}
                seconds = self.leases[lease][0]
                self.leases[lease] = (seconds, time.monotonic() + seconds)
                return 200, {"ttl_ms": int(seconds * 1000)}
            case "kv-lease-end":
                self.end_lease(int(path.split("/")[2]))
                return 200, {}
        return 400, {}

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page: list[dict] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key].value)
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key].document(key))
        return {
            "items": page,
            "has_more": len(keys) > len(page),
            "as_of": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = query["prefix"], int(query["start_after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self.expire()
            events = [
                event
                for revision, key, event in self.events
                if revision > after and key.startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.revision}
            try:
                async with asyncio.timeout(min(left, 0.1)):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body: dict) -> tuple[int, dict]:
        rows = body.get("expected_rev", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                found = [
                    self.items[r["key"]].document(r["key"])
                    for r in rows
                    if r["key"] in self.items
                ]
                return 412, {"items": found}
        for write in body.get("writes", []):
            if write["lease"] and write["lease"] not in self.leases:
                return 404, {}
            if write["key"].startswith(READ_ONLY_PREFIXES):
                return 403, {}
        for write in body.get("writes", []):
            self._put(write["key"], b64decode(write["value"]), write["lease"])
        for key in body.get("remove", []):
            self.delete(key)
        return 200, {"revision": self.revision}


@dataclass
class Call:
    """One call of a duty, when it arrived."""

    at: float
    host: str
    holder: str
    token: int
    path: str
    body: dict


@dataclass
class Cloud:
    """The cloud API: takes usage reports and orders."""

    calls: list[Call] = field(default_factory=list)
    on_call: Callable[[Call], object] = lambda call: None

    async def start(self, address: str, port: int) -> None:
        """Serve the API."""
        await start_server(self._serve, address, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info("peername")[0]
        while (request := await read_request(reader)) is not None:
            call = Call(
                time.time(),
                host,
                request.headers.get("x-duty-holder", ""),
                int(request.headers.get("x-fence-token", 0)),
                request.path,
                json.loads(request.body),
            )
            self.calls.append(call)
            verdict = self.on_call(call)
            if verdict == "drop":
                writer.transport.abort()
                return
            if isinstance(verdict, int | float):
                await asyncio.sleep(verdict)
            writer.write(response_bytes(200, JSON_TYPE, b"{}"))
