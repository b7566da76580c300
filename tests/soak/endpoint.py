"""An endpoint of the soak: what it answers follows from the request alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from tests.standins.scripted_endpoint import (
    Arrival,
    ScriptedEndpoint,
    Step,
    plain_response,
    stream_response,
)

__all__ = ["EVENTS", "SoakEndpoint", "piece", "plain_body"]

EVENTS = 20
EVENT_SECONDS = 0.03
WORK_SECONDS = 0.02
REJECTED = plain_response(
    status=503, extra_headers=b"X-Not-Run: 1\r\n", body=b"", has_server_stamp=False
)


def plain_body(request_id: str) -> bytes:
    """Return the one body that answers a request."""
    return f"body of {request_id}".encode() * 20


def piece(request_id: str, number: int) -> bytes:
    """Return one event of the one stream that answers a request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


@dataclass
class SoakEndpoint(ScriptedEndpoint):
    """Runs requests, refuses, fails and breaks off, by a seeded choice."""

    random: Random = field(default_factory=Random)
    ran: list[Arrival] = field(default_factory=list)
    share_bad: float = 0.05

    def _script_for(self, arrival: Arrival) -> list[Step]:
        chance = self.random.random() / self.share_bad
        if chance < 0.4:
            return REJECTED
        self.ran.append(arrival)
        if chance < 0.6:
            return [WORK_SECONDS, *plain_response(status=500)]
        if chance < 0.8:
            return [WORK_SECONDS, "reset"]
        whole = self._answer(arrival)
        return [*whole[: len(whole) // 2], "reset"] if chance < 1.0 else whole

    def _answer(self, arrival: Arrival) -> list[Step]:
        request_id = arrival.request_id
        path = arrival.request_line.split()[1]
        if path.startswith(("/stream/", "/draft/")):
            first = int(arrival.headers.get("last-event-id", 0)) + 1
            steps: list[Step] = []
            for number in range(first, EVENTS + 1):
                steps += [piece(request_id, number), EVENT_SECONDS]
            return stream_response(*steps)
        return [WORK_SECONDS, *plain_response(plain_body(request_id))]
