"""An endpoint whose events name its software version, and which resumes any stream."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from tests.standins.scripted_endpoint import (
    Arrival,
    ScriptedEndpoint,
    Step,
    stream_response,
)

__all__ = ["EVENT_COUNT", "VersionedEndpoint", "event_ids", "versions_of"]

EVENT_COUNT = 8


@dataclass
class VersionedEndpoint(ScriptedEndpoint):
    """Sends events after ``last-event-id``, and resets after ``cut_after`` of them.

    Like an engine, it does not check which version began the stream.
    """

    version: str = "v1"
    cut_after: int | None = None
    event_seconds: float = 0.02
    runs: list[Arrival] = field(default_factory=list)

    def _script_for(self, arrival: Arrival) -> list[Step]:
        self.runs.append(arrival)
        first = int(arrival.headers.get("last-event-id", 0)) + 1
        steps: list[Step] = []
        for number in range(first, EVENT_COUNT + 1):
            if self.cut_after is not None and number - first >= self.cut_after:
                return stream_response(*steps, "reset", has_last_chunk=False)
            event = f"id: {number}\ndata: {self.version} {number}\n\n"
            steps += [event.encode(), self.event_seconds]
        return stream_response(*steps)


def versions_of(body: bytes) -> set[str]:
    """Return the software versions that wrote the events in a body."""
    return set(re.findall(r"data: (\S+) \d+\n\n", body.decode()))


def event_ids(body: bytes) -> list[int]:
    """Return the identifiers of the complete events in a body."""
    return [
        int(found) for found in re.findall(r"id: (\d+)\ndata: .*\n\n", body.decode())
    ]
