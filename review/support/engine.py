"""Stand-in of the engines of a plain service, which certain requests crash."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from review.support.http import Request, encode_answer, reset, serve

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.support.site import Site

__all__ = ["ENGINE_PORT", "Engine", "Run"]

ENGINE_PORT = 8308
HEARTBEAT_SECONDS = 1.2


@dataclass(frozen=True)
class Run:
    """A request that has reached an engine; ``has_begun`` if it began to run there."""

    at: float
    engine: str
    request_id: str
    target: str
    sender: str
    has_begun: bool = True


@dataclass
class Engine:
    """One machine of a service; each start there is an engine with a new id.

    It runs ``slots`` requests at once and queues ``queue`` more; beyond that it answers
    503 with ``X-Not-Run``. A request for which ``is_deadly`` is true resets all
    connections as it begins to run, and the engine is back after ``restart_seconds``.
    """

    site: Site
    name: str
    address: str
    service: str
    zone: str
    work_seconds: Callable[[], float]
    slots: int = 6
    queue: int = 24
    restart_seconds: float = 3.0
    is_deadly: Callable[[Request], bool] = lambda request: False
    runs: list[Run] = field(default_factory=list)
    crashes: list[Run] = field(default_factory=list)
    _starts: count = field(default_factory=lambda: count(1))
    _id: str = ""
    _waiting: int = 0
    _running: int = 0
    _slot_free: asyncio.Condition = field(default_factory=asyncio.Condition)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    async def start(self) -> None:
        """Start an engine and register it."""
        self._id = f"i-{self.name}-{next(self._starts)}"
        self._waiting = self._running = 0
        self._slot_free = asyncio.Condition()
        self._server = await serve(
            self.address, ENGINE_PORT, self._handle, self._writers
        )
        self.site.record.write(f"engine {self._id} of {self.service} starts")
        self.site.platform.put(f"servers/{self._id}", self._entry())

    def _entry(self) -> dict:
        return {
            "backend": self.service,
            "address": f"{self.address}:{ENGINE_PORT}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        engine_id = self._id
        echo = {"X-Request-Id": request.headers.get("x-request-id", "")}
        if request.headers.get("x-expect-instance", engine_id) != engine_id:
            writer.write(encode_answer(421, b"", {**echo, "X-Not-Run": "1"}))
            return True
        sender = writer.get_extra_info("peername")[0]
        run = Run(
            time.monotonic(), engine_id, echo["X-Request-Id"], request.target, sender
        )
        if self._waiting >= self.queue:
            writer.write(encode_answer(503, b"", {**echo, "X-Not-Run": "1"}))
            return True
        slot_free = self._slot_free
        async with slot_free:
            self._waiting += 1
            await slot_free.wait_for(
                lambda: engine_id != self._id or self._running < self.slots
            )
            if engine_id != self._id:
                return False
            self._waiting -= 1
            self._running += 1
        self.runs.append(run)
        if self.is_deadly(request):
            self.site.record.write(
                f"engine {engine_id} begins {run.target} {run.request_id} and crashes"
            )
            self._crash(run)
            return False
        await asyncio.sleep(self.work_seconds())
        if engine_id != self._id:
            return False
        async with slot_free:
            self._running -= 1
            slot_free.notify()
        stamp = {**echo, "X-Server-Stamp": f"{engine_id}.{len(self.runs)}"}
        writer.write(encode_answer(200, b"x" * 800, stamp))
        await writer.drain()
        return True

    def _crash(self, run: Run) -> None:
        self.crashes.append(run)
        crashed_id, self._id = self._id, ""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        coroutines = (
            _wake_all(self._slot_free),
            self._expire(crashed_id),
            self._restart(),
        )
        for coroutine in coroutines:
            task = asyncio.create_task(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _expire(self, engine_id: str) -> None:
        """Remove the entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.site.platform.remove(f"servers/{engine_id}")

    async def _restart(self) -> None:
        await asyncio.sleep(self.restart_seconds)
        await self.start()


async def _wake_all(condition: asyncio.Condition) -> None:
    async with condition:
        condition.notify_all()
