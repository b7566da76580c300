"""An endpoint of the soak test whose responses follow from the request alone."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from random import Random

from tests.standins.scripted_endpoint import (
    Arrival,
    ScriptedEndpoint,
    Step,
    plain_response,
    rejection,
    stream_response,
)

__all__ = [
    "EVENT_COUNT",
    "SoakEndpoint",
    "expected_body",
    "expected_event",
    "parse_events",
]

EVENT_COUNT = 20
EVENT_SECONDS = 0.03
RUN_SECONDS = 0.02
REJECTION = plain_response(
    status=503, extra_headers=b"X-Not-Run: 1\r\n", body=b"", has_server_stamp=False
)
REST_PROBABILITY = 0.5
REST_SECONDS = (0.2, 0.8, 1.5, 3.0)


def expected_body(request_id: str) -> bytes:
    """Return the response body that belongs to a request."""
    return f"body of {request_id}".encode() * 20


def expected_event(request_id: str, number: int, version: str) -> bytes:
    """Return one event of the stream that belongs to a request."""
    return f"id: {number}\ndata: {request_id} {version} {number}\n\n".encode()


def parse_events(data: bytes) -> list[tuple[int, str]]:
    """Return the number and software version of each complete event."""
    pattern = rb"id: (\d+)\ndata: \S+ (\S+) \d+\n\n"
    return [(int(n), version.decode()) for n, version in re.findall(pattern, data)]


@dataclass
class SoakEndpoint(ScriptedEndpoint):
    """Runs, rejects, fails or aborts each request, by a seeded random choice.

    Some rejections ask the host to stay away for a time.
    """

    random: Random = field(default_factory=Random)
    rest_random: Random = field(default_factory=Random)
    executed: list[Arrival] = field(default_factory=list)
    fault_share: float = 0.05
    version: str = "v1"

    def _script_for(self, arrival: Arrival) -> list[Step]:
        draw = self.random.random() / self.fault_share
        if draw < 0.4:
            if self.rest_random.random() < REST_PROBABILITY:
                return rejection(self.rest_random.choice(REST_SECONDS))
            return REJECTION
        self.executed.append(arrival)
        if draw < 0.6:
            return [RUN_SECONDS, *plain_response(status=500)]
        if draw < 0.8:
            return [RUN_SECONDS, "reset"]
        script = self._response_script(arrival)
        return [*script[: len(script) // 2], "reset"] if draw < 1.0 else script

    def _response_script(self, arrival: Arrival) -> list[Step]:
        request_id = arrival.request_id
        path = arrival.request_line.split()[1]
        if path.startswith(("/stream/", "/draft/")):
            stream = path.rpartition("/")[2]
            first = int(arrival.headers.get("last-event-id", 0)) + 1
            steps: list[Step] = []
            for number in range(first, EVENT_COUNT + 1):
                event = expected_event(stream, number, self.version)
                steps += [event, EVENT_SECONDS]
            return stream_response(*steps)
        return [RUN_SECONDS, *plain_response(expected_body(request_id))]
