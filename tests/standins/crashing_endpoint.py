"""A model engine that crashes when it begins to respond to certain prompts."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.standins.scripted_endpoint import (
    Arrival,
    ScriptedEndpoint,
    Step,
    reset_connection,
    sse_event,
    stream_response,
    unframed_stream,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EVENT_COUNT", "CrashingEndpoint"]

EVENT_COUNT = 6
PREFILL_SECONDS = 0.05


@dataclass
class CrashingEndpoint(ScriptedEndpoint):
    """Crashes on ``deadly_part``, and is back after ``restart_seconds``.

    A crash resets every connection. ``ends_early`` also lets it end them without a
    reset, in the middle of an event of a response without length or chunks.
    ``notify_restart`` gets the endpoint and the number of its incarnation.
    """

    deadly_part: str = ""
    restart_seconds: float = 0.8
    event_seconds: float = 0.05
    ends_early: bool = False
    notify_restart: Callable[[CrashingEndpoint, int], None] | None = None
    crashes: list[float] = field(default_factory=list)
    incarnation: int = 1
    is_down: bool = False
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _restarts: set[asyncio.Task] = field(default_factory=set)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await super()._serve_connection(reader, writer)
        finally:
            self._writers.discard(writer)

    def crash(self) -> None:
        """Reset all connections, stop listening, and restart later."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes.append(time.monotonic())
        self.server.close()
        for writer in list(self._writers):
            if self.ends_early:
                writer.close()
            else:
                reset_connection(writer)
        task = asyncio.create_task(self._restart())
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    def _crash(self, writer: asyncio.StreamWriter) -> None:
        self.crash()

    async def _restart(self) -> None:
        address, port = self.server_address
        await asyncio.sleep(self.restart_seconds)
        self.incarnation += 1
        await self.start(address, port)
        self.is_down = False
        if self.notify_restart is not None:
            self.notify_restart(self, self.incarnation)

    async def start(self, address: str, port: int) -> asyncio.Server:
        self.server_address = (address, port)
        return await super().start(address, port)

    def _script_for(self, arrival: Arrival) -> list[Step]:
        steps: list[Step] = [PREFILL_SECONDS]
        if self.deadly_part and self.deadly_part in shared_parts(arrival):
            steps.append("crash")
        for number in range(1, EVENT_COUNT + 1):
            steps += [sse_event(number), self.event_seconds]
        return (unframed_stream if self.ends_early else stream_response)(*steps)


def shared_parts(arrival: Arrival) -> list[str]:
    """Return the identifiers of all parts of a prompt but the last."""
    entries = arrival.headers.get("x-prefix-hash", "").split(",")
    return [entry.partition(":")[0] for entry in entries][:-1]
