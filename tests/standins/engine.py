"""Stand-in for a model engine with continuous batching and a prefix cache.

Each token is a function of the context alone, so that a resumed response can be
compared with an uninterrupted one. Faults: ``freeze`` (streams pause while it is set),
``crash_after_tokens`` (each stream is aborted after so many tokens; negative: never),
``crash_on`` (a request with this text in its prompt aborts every stream), ``refuse_kv``
(exports and imports of the KV cache get status 409), ``double_chunks`` (each chunk is
sent twice), ``status`` (rejects requests with this status unless it is 200).
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
    """Runs requests, caches prefixes, and logs the token counts of every run."""

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
        self._waiting_runs = asyncio.PriorityQueue()
        self._free_slots = options.slots
        self._runs_by_id: dict[str, Run] = {}
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_events: list[dict] = []
        self._exports_by_handle: dict[str, list[str]] = {}
        self._imports_by_handle: dict[str, int] = {}
        self._load_history: list[tuple[float, dict]] = []
        self._open_transports: set = set()
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
        app.router.add_get("/load", self._get_load)
        app.router.add_get("/cache/events", self._list_cache_events)
        app.router.add_post("/orders", self._accept_order)
        app.router.add_get("/orders", self._get_last_order)
        app.router.add_get("/log", self._list_runs)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        if self.faults["status"] != 200:
            return web.json_response({"error": "refused"}, status=self.faults["status"])
        run = Run(body.get("request_id", ""), _context(body), body.get("priority", 0))
        self._runs_by_id[run.request_id] = run
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        self._open_transports.add(request.transport)
        await self._acquire_slot(run)
        try:
            await self._prefill(run, body.get("kv_handle"))
            await self._decode(request, response, run, body)
        except (ConnectionError, asyncio.CancelledError):
            run.ended = "lost"
            raise
        finally:
            self._open_transports.discard(request.transport)
            self._release_slot()
        return response

    async def _prefill(self, run: Run, handle: str | None) -> None:
        imported = self._imports_by_handle.pop(handle, 0) if handle else 0
        run.cached = max(imported, self._cached_tokens(run.context))
        run.computed = max(0, len(run.context) - run.cached)
        await asyncio.sleep(run.computed * self._options.prefill_seconds)
        self._cache_context(run.context)

    async def _decode(self, request, response, run: Run, body: dict) -> None:
        if self.faults["crash_on"] and self.faults["crash_on"] in " ".join(run.context):
            for transport in list(self._open_transports):
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

    async def _acquire_slot(self, run: Run) -> None:
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        slot_granted = asyncio.get_running_loop().create_future()
        await self._waiting_runs.put(
            (-run.priority, time.monotonic(), id(slot_granted), slot_granted)
        )
        await slot_granted

    def _release_slot(self) -> None:
        while not self._waiting_runs.empty():
            slot_granted = self._waiting_runs.get_nowait()[-1]
            if not slot_granted.done():
                slot_granted.set_result(None)
                return
        self._free_slots += 1

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

    async def _get_load(self, request: web.Request) -> web.Response:
        """Return the load as it was ``load_lag_seconds`` ago."""
        now = time.time()
        running = self._options.slots - self._free_slots
        current = {"running": running, "waiting": self._waiting_runs.qsize(), "at": now}
        self._load_history.append((now, current))
        visible_at = now - self._options.load_lag_seconds
        while len(self._load_history) > 1 and self._load_history[1][0] <= visible_at:
            self._load_history.pop(0)
        return web.json_response(self._load_history[0][1])

    async def _list_cache_events(self, request: web.Request) -> web.Response:
        """Return cache events with a delay, without every seventh of them."""
        after = int(request.query.get("after", 0))
        visible_until = time.time() - self._options.event_lag_seconds
        events = [
            event
            for event in self._cache_events[after:]
            if event["at"] <= visible_until and event["number"] % 7
        ]
        return web.json_response({"events": events, "next": len(self._cache_events)})

    async def _accept_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        token = order["fencing_token"]
        if self._options.checks_fencing_token and token < self._fencing_token:
            return web.json_response({"error": "old fencing token"}, status=409)
        self._fencing_token = max(self._fencing_token, token)
        self._orders.append(order)
        return web.json_response({"orders": len(self._orders)})

    async def _get_last_order(self, request: web.Request) -> web.Response:
        wanted = self._orders[-1]["wanted"] if self._orders else None
        return web.json_response({"wanted": wanted})

    async def _list_runs(self, request: web.Request) -> web.Response:
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
        for block in _block_names(context):
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += BLOCK_TOKENS
        return count

    def _cache_context(self, context: list[str]) -> None:
        for block in _block_names(context):
            if block not in self._cache:
                self._record_cache_event("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._options.cache_blocks:
            block, _ = self._cache.popitem(last=False)
            self._record_cache_event("removed", block)

    def _record_cache_event(self, kind: str, block: str) -> None:
        number = len(self._cache_events)
        event = {"number": number, "kind": kind, "block": block, "at": time.time()}
        self._cache_events.append(event)


def _context(body: dict) -> list[str]:
    if "prompt" in body:
        return body["prompt"].split()
    messages = list(body["messages"])
    partial_response: list[str] = []
    if body.get("continue_final_message"):
        partial_response = messages.pop()["content"].split()
    context = []
    for message in messages:
        context += [f"<{message['role']}>", *message["content"].split()]
    return [*context, "<assistant>", *partial_response]


def _next_token(context: list[str]) -> str:
    digest = blake2b(" ".join(context[-64:]).encode(), digest_size=3)
    digest.update(str(len(context)).encode())
    return f"t{digest.hexdigest()}"


def _block_names(context: list[str]) -> list[str]:
    """Return the name of each full block: a digest of the context up to its end."""
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
