"""Stand-in for a model engine with continuous batching and a prefix cache.

Its answers are a function of the context alone, so that an answer continued
elsewhere can be compared with an undisturbed one. Faults: ``freeze`` (streams stop
until it is switched off), ``crash_after_tokens`` (each stream breaks off there;
negative: never), ``crash_on`` (a request with this text in its prompt breaks off
every stream), ``refuse_kv``, ``double_chunks``, ``status`` (refuse with it).
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

from aiohttp import ClientError, ClientSession, web

from tests.standins.base import Faults, create_argument_parser, drop_connection, serve

BLOCK_TOKENS = 16


@dataclass
class Run:
    request_id: str
    context: list[str]
    priority: int = 0
    emitted: int = 0
    computed: int = 0
    cached: int = 0
    is_cancelled: bool = False
    is_exported: bool = False
    ended: str = "running"
    started_at: float = field(default_factory=time.time)


class EngineStandIn:
    """Runs requests, caches prefixes, and logs every token that it computes."""

    def __init__(self, options) -> None:
        self.faults = Faults(
            freeze=False,
            crash_after_tokens=-1,
            crash_on="",
            refuse_kv=False,
            double_chunks=False,
            status=200,
        )
        self._options = options
        self._slots = asyncio.PriorityQueue()
        self._free = options.slots
        self._runs_by_id: dict[str, Run] = {}
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[dict] = []
        self._exports_by_handle: dict[str, list[str]] = {}
        self._imports_by_handle: dict[str, int] = {}
        self._reported: list[tuple[float, dict]] = []
        self._transports: set = set()
        self._orders: list[dict] = []
        self._fencing_token = 0

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/v1/requests/{id}/cancel", self._cancel)
        app.router.add_post("/kv/export", self._export)
        app.router.add_get("/kv/{handle}", self._read_export)
        app.router.add_post("/kv/import", self._import)
        app.router.add_get("/load", self._load)
        app.router.add_get("/cache/events", self._events)
        app.router.add_post("/orders", self._order)
        app.router.add_get("/orders", self._standing)
        app.router.add_get("/log", self._log)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.faults["status"] != 200:
            return web.json_response({"error": "refused"}, status=self.faults["status"])
        run = Run(body.get("request_id", ""), _context(body), body.get("priority", 0))
        self._runs_by_id[run.request_id] = run
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        self._transports.add(request.transport)
        await self._take_slot(run)
        try:
            await self._prefill(run, body.get("kv_handle"))
            await self._decode(request, response, run, body)
        except (ConnectionError, asyncio.CancelledError):
            run.ended = "lost"
            raise
        finally:
            self._transports.discard(request.transport)
            self._release_slot()
        return response

    async def _prefill(self, run: Run, handle: str | None) -> None:
        imported = self._imports_by_handle.pop(handle, 0) if handle else 0
        run.cached = max(imported, self._cached_tokens(run.context))
        run.computed = max(0, len(run.context) - run.cached)
        await asyncio.sleep(run.computed * self._options.prefill_seconds)
        self._remember(run.context)

    async def _decode(self, request, response, run: Run, body: dict) -> None:
        if self.faults["crash_on"] and self.faults["crash_on"] in " ".join(run.context):
            for transport in list(self._transports):
                transport.abort()
            drop_connection(request)
        is_chat = "messages" in body
        for sequence in range(body["max_tokens"]):
            await asyncio.sleep(self._options.token_seconds)
            while self.faults["freeze"]:
                await asyncio.sleep(0.01)
            if run.is_exported or run.is_cancelled:
                run.ended = "exported" if run.is_exported else "cancelled"
                return
            if 0 <= self.faults["crash_after_tokens"] <= sequence:
                run.ended = "crashed"
                drop_connection(request)
            token = _next_token(run.context)
            run.context.append(token)
            run.emitted += 1
            is_last = sequence + 1 == body["max_tokens"]
            chunk = _chunk(token, sequence, is_last=is_last, is_chat=is_chat)
            await response.write(chunk)
            if self.faults["double_chunks"]:
                await response.write(chunk)
        await response.write(b"data: [DONE]\n\n")
        run.ended = "whole"

    async def _take_slot(self, run: Run) -> None:
        if self._free > 0:
            self._free -= 1
            return
        turn = asyncio.get_running_loop().create_future()
        await self._slots.put((-run.priority, time.monotonic(), id(turn), turn))
        await turn

    def _release_slot(self) -> None:
        while not self._slots.empty():
            turn = self._slots.get_nowait()[-1]
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self._runs_by_id.get(request.match_info["id"])
        if run is not None:
            run.is_cancelled = True
        return web.json_response({"handle": "", "tokens": 0})

    async def _export(self, request: web.Request) -> web.Response:
        run = self._runs_by_id.get((await request.json())["request_id"])
        if run is None or self.faults["refuse_kv"]:
            return web.json_response({"error": "not exported"}, status=409)
        run.is_exported = True
        await asyncio.sleep(len(run.context) * self._options.export_seconds)
        self._exports_by_handle[run.request_id] = list(run.context)
        tokens = len(run.context)
        return web.json_response({"handle": run.request_id, "tokens": tokens})

    async def _read_export(self, request: web.Request) -> web.Response:
        context = self._exports_by_handle.get(request.match_info["handle"])
        if context is None:
            return web.json_response({"error": "unknown"}, status=404)
        return web.json_response({"tokens": len(context)})

    async def _import(self, request: web.Request) -> web.Response:
        body = await request.json()
        if self.faults["refuse_kv"]:
            return web.json_response({"error": "no room"}, status=409)
        url = f"{body['source']}/kv/{body['handle']}"
        try:
            async with ClientSession() as session, session.get(url) as response:
                tokens = (await response.json())["tokens"]
        except (ClientError, KeyError):
            return web.json_response({"error": "source lost"}, status=502)
        self._imports_by_handle[body["handle"]] = tokens
        return web.json_response({"handle": body["handle"], "tokens": tokens})

    async def _load(self, request: web.Request) -> web.Response:
        """Report the load as it was ``load_lag_seconds`` ago."""
        now = time.time()
        running = self._options.slots - self._free
        current = {"running": running, "waiting": self._slots.qsize(), "at": now}
        self._reported.append((now, current))
        seen_at = now - self._options.load_lag_seconds
        while len(self._reported) > 1 and self._reported[1][0] <= seen_at:
            self._reported.pop(0)
        return web.json_response(self._reported[0][1])

    async def _events(self, request: web.Request) -> web.Response:
        """Return cache events late, and with every seventh one missing."""
        after = int(request.query.get("after", 0))
        late = time.time() - self._options.event_lag_seconds
        events = [
            event
            for event in self._cache_events[after:]
            if event["at"] <= late and event["number"] % 7
        ]
        return web.json_response({"events": events, "next": len(self._cache_events)})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        token = order["fencing_token"]
        if self._options.checks_fencing_token and token < self._fencing_token:
            return web.json_response({"error": "old fencing token"}, status=409)
        self._fencing_token = max(self._fencing_token, token)
        self._orders.append(order)
        return web.json_response({"orders": len(self._orders)})

    async def _standing(self, request: web.Request) -> web.Response:
        wanted = self._orders[-1]["wanted"] if self._orders else None
        return web.json_response({"wanted": wanted})

    async def _log(self, request: web.Request) -> web.Response:
        runs = [
            {
                "request_id": run.request_id,
                "computed": run.computed,
                "cached": run.cached,
                "emitted": run.emitted,
                "ended": run.ended,
                "started_at": run.started_at,
            }
            for run in self._runs_by_id.values()
        ]
        return web.json_response({"runs": runs, "orders": self._orders})

    def _cached_tokens(self, context: list[str]) -> int:
        count = 0
        for block in _blocks(context):
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += BLOCK_TOKENS
        return count

    def _remember(self, context: list[str]) -> None:
        for block in _blocks(context):
            if block not in self._cache:
                self._note("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._options.cache_blocks:
            block, _ = self._cache.popitem(last=False)
            self._note("removed", block)

    def _note(self, kind: str, block: str) -> None:
        number = len(self._cache_events)
        event = {"number": number, "kind": kind, "block": block, "at": time.time()}
        self._cache_events.append(event)


def _context(body: dict) -> list[str]:
    if "prompt" in body:
        return body["prompt"].split()
    messages = list(body["messages"])
    tail: list[str] = []
    if body.get("continue_final_message"):
        tail = messages.pop()["content"].split()
    context = []
    for message in messages:
        context += [f"<{message['role']}>", *message["content"].split()]
    return [*context, "<assistant>", *tail]


def _next_token(context: list[str]) -> str:
    digest = blake2b(" ".join(context[-64:]).encode(), digest_size=3)
    digest.update(str(len(context)).encode())
    return f"t{digest.hexdigest()}"


def _blocks(context: list[str]) -> list[str]:
    """Name each whole block by all that comes before it."""
    names = []
    hasher = blake2b(digest_size=8)
    for start in range(0, len(context) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        hasher.update(" ".join(context[start : start + BLOCK_TOKENS]).encode())
        names.append(hasher.hexdigest())
    return names


def _chunk(token: str, sequence: int, *, is_last: bool, is_chat: bool) -> bytes:
    finish_reason = "length" if is_last else None
    choice: dict = {"index": 0, "finish_reason": finish_reason}
    if is_chat:
        choice["delta"] = {"content": f" {token}"}
    else:
        choice["text"] = f" {token}"
    event = {"id": "x", "choices": [choice], "sequence": sequence}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


if __name__ == "__main__":
    parser = create_argument_parser(__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-seconds", type=float, default=0.01)
    parser.add_argument("--prefill-seconds", type=float, default=0.0001)
    parser.add_argument("--export-seconds", type=float, default=0.00002)
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--load-lag-seconds", type=float, default=0.5)
    parser.add_argument("--event-lag-seconds", type=float, default=1.0)
    parser.add_argument("--checks-fencing-token", action="store_true")
    standin = EngineStandIn(parser.parse_args())
    serve(
        standin.build_app,
        standin.faults,
        standin._options.address,
        standin._options.port,
    )
