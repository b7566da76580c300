"""An endpoint with few slots that falls over if it has to reject too much."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.standins.crashing_endpoint import CrashingEndpoint
from tests.standins.scripted_endpoint import plain_response

if TYPE_CHECKING:
    import asyncio

    from tests.standins.scripted_endpoint import Arrival, Step

__all__ = ["BrittleEndpoint"]

WINDOW_SECONDS = 1.0


@dataclass
class BrittleEndpoint(CrashingEndpoint):
    """Runs ``slots`` requests at a time, and rejects all others.

    While ``brittle`` is set, it states that number in all responses, and falls over
    when it has rejected more requests than that in a second.
    """

    slots: int = 4
    work_seconds: float = 0.05
    brittle: int | None = None
    running: int = 0
    rejections: list[float] = field(default_factory=list)

    async def _run_script(
        self, script: list[Step], arrival: Arrival, writer: asyncio.StreamWriter
    ) -> bool:
        if self.running >= self.slots:
            return await super()._run_script(self._reject(), arrival, writer)
        self.running += 1
        try:
            return await super()._run_script(script, arrival, writer)
        finally:
            self.running -= 1

    def _script_for(self, arrival: Arrival) -> list[Step]:
        return [self.work_seconds, *self._with_statement()]

    def _reject(self) -> list[Step]:
        instant = time.monotonic()
        self.rejections.append(instant)
        recent = [at for at in self.rejections if at > instant - WINDOW_SECONDS]
        if self.brittle is not None and len(recent) > self.brittle:
            return ["crash"]
        return self._with_statement(status=503, extra_headers=b"X-Not-Run: 1\r\n")

    def _with_statement(self, **response) -> list[Step]:
        headers = response.pop("extra_headers", b"")
        if self.brittle is not None:
            headers += b"Server-Brittle: %d\r\n" % self.brittle
        return plain_response(extra_headers=headers, **response)
