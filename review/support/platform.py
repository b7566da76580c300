"""Stand-in of the platform: its store, and its API for the duties."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from review.support.http import Request, encode_answer, serve

if TYPE_CHECKING:
    from review.support.record import Record

__all__ = ["DutyCall", "Platform"]

PAGE_ITEMS = 500
FORBIDDEN_PREFIXES = ("op/", "servers/")
WATCH_POLL_SECONDS = 0.02
HISTORY_EVENTS = 20_000
ANSWER_SECONDS = 0.004


@dataclass(frozen=True)
class DutyCall:
    """A call for a duty, as the platform has got it."""

    at: float
    holder: str
    token: int
    path: str
    body: dict


@dataclass
class Item:
    """An item of the store."""

    value: bytes
    revision: int
    create_rev: int
    lease: int

    def document(self, key: str) -> dict:
        """Return the item as the store states it."""
        return {
            "key": key,
            "value": b64encode(self.value).decode(),
            "revision": self.revision,
            "create_rev": self.create_rev,
            "lease": self.lease,
        }


@dataclass
class Platform:
    """A sound store and a sound API, at one address."""

    record: Record
    items: dict[str, Item] = field(default_factory=dict)
    duty_calls: list[DutyCall] = field(default_factory=list)
    renewals: list[float] = field(default_factory=list)
    revision: int = 1
    _events: list[tuple[int, str, dict]] = field(default_factory=list)
    _leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    _server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen at an address."""
        self._server = await serve(address, port, self._handle)

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write an item, and return the revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        created = known.create_rev if known else self.revision
        self.items[key] = Item(data, self.revision, created, lease)
        self._events.append((self.revision, key, self.items[key].document(key)))
        del self._events[:-HISTORY_EVENTS]
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item, if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "deleted": True}
            self._events.append((self.revision, key, event))

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        await asyncio.sleep(ANSWER_SECONDS)
        self._expire_leases()
        status, body = await self._answer(request)
        data = json.dumps(body).encode()
        writer.write(encode_answer(status, data, {"Content-Type": "application/json"}))
        await writer.drain()
        return True

    async def _answer(self, request: Request) -> tuple[int, dict]:
        path, query = request.path, request.query
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"as_of": self.revision}
            return 200, {**item.document(query["key"]), "as_of": self.revision}
        if path == "/kv-range":
            after = query.get("start_after", "")
            keys = sorted(
                k for k in self.items if k.startswith(query["prefix"]) and k > after
            )
            items = [self.items[k].document(k) for k in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": items, "has_more": more, "as_of": self.revision}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._commit(json.loads(request.body))
        if path == "/kv-lease":
            ttl_ms = json.loads(request.body)["ttl_ms"]
            self.revision += 1
            expires_at = time.monotonic() + ttl_ms / 1000
            self._leases[self.revision] = (ttl_ms / 1000, expires_at)
            return 200, {"lease": self.revision, "ttl_ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            return self._renew(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if path in ("/usage", "/scale"):
            return self._record_duty(request)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["start_after"]), query["prefix"]
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for revision, key, event in self._events
                if revision > after and key.startswith(prefix)
            ]
            if events or time.monotonic() >= ends_at:
                return 200, {"events": events, "as_of": self.revision}
            await asyncio.sleep(WATCH_POLL_SECONDS)

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
            if write["lease"] and write["lease"] not in self._leases:
                return 404, {}
            if write["key"].startswith(FORBIDDEN_PREFIXES):
                return 403, {}
        for write in body.get("writes", []):
            self.put(write["key"], b64decode(write["value"]), write["lease"])
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        seconds = self._leases[lease][0]
        self._leases[lease] = (seconds, time.monotonic() + seconds)
        self.renewals.append(time.monotonic())
        return 200, {"ttl_ms": int(seconds * 1000)}

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            if lease:
                self.remove(key)

    def _expire_leases(self) -> None:
        instant = time.monotonic()
        for lease, (_, expires_at) in list(self._leases.items()):
            if expires_at <= instant:
                self._end_lease(lease)

    def _record_duty(self, request: Request) -> tuple[int, dict]:
        call = DutyCall(
            time.monotonic(),
            request.headers["x-duty-holder"],
            int(request.headers["x-fence-token"]),
            request.path,
            json.loads(request.body),
        )
        self.duty_calls.append(call)
        self.record.write(
            f"platform gets {call.path} of {call.holder}, token {call.token}:"
            f" {json.dumps(call.body)}"
        )
        return 200, {}
