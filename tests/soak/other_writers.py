"""What other writers and faulty endpoints do beside the soak test."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

import msgspec

from amaranthhollow.state.host_registry import HOSTS_PREFIX
from tests.soak.endpoint import EVENT_COUNT, SoakEndpoint, expected_event
from tests.standins.scripted_endpoint import (
    Arrival,
    Step,
    plain_response,
    stream_response,
    unframed_stream,
)

if TYPE_CHECKING:
    from tests.standins.store import StoreStandIn

__all__ = ["FaultyEndpoint", "OddEntries"]

WRITE_SECONDS = (0.05, 0.8)
MAX_AT_ONCE = 4
STRAY_SHARE = 0.08
WRONG_REST_SHARE = 0.15
NESTED = b"[" * 100_000 + b"]" * 100_000
ENTRY = {
    "backend": "plain-app",
    "address": "127.0.0.1:1",
    "zone": "dc-1",
    "slots": 4,
    "state": "ready",
    "born": 1,
    "version": "v1",
}
CHANGES = (
    {"address": "127.0.0.1:70000"},
    {"address": "127.0.0.1:0"},
    {"address": "\x00:80"},
    {"address": "host.invalid:80"},
    {"address": 5},
    {"slots": 10**400},
    {"slots": -(10**30)},
    {"slots": 0},
    {"slots": "many"},
    {"born": 10**400},
    {"born": 2**64},
    {"born": None},
    {"state": "resting"},
    {"version": "v" * 10_000},
    {"backend": ["plain-app"]},
)
ODD_ENDPOINTS = (
    b"",
    b"\xff\xfe",
    b"null",
    json.dumps(ENTRY).encode()[:-1] + b',"x":' + NESTED + b"}",
    *(json.dumps({**ENTRY, **change}).encode() for change in CHANGES),
)
HOST = ["127.0.0.9", "dc-1", 0, 1, "", 2]
ODD_HOSTS = (
    b"",
    b"\xc1",
    b"\x97" + msgspec.msgpack.encode(HOST)[1:] + b"\x91" * 100_000 + b"\xc0",
    msgspec.msgpack.encode(["\x00", *HOST[1:]]),
    msgspec.msgpack.encode(["host.invalid", *HOST[1:]]),
    msgspec.msgpack.encode(["255.255.255.255", *HOST[1:]]),
    msgspec.msgpack.encode([*HOST[:2], 9]),
    msgspec.msgpack.encode([*HOST[:3], 2**64 - 1]),
)
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n%sContent-Length: 0\r\n\r\n"


class OddEntries:
    """Writes odd entries among those of endpoints and hosts, several at once.

    One of each is there all the time; others come, are written again and go.
    """

    def __init__(self, store: StoreStandIn, random: Random) -> None:
        self.store = store
        self.random = random

    def write_first(self) -> None:
        """Write the entries that are there before any host starts."""
        self._write("aa")

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*WRITE_SECONDS))
            for name in self.random.sample(("aa", "e0", "zz", "z1"), MAX_AT_ONCE // 2):
                self._write(name)
            gone = self.random.choice(("e0", "zz", "z1"))
            self.store.delete(f"servers/{gone}")

    def _write(self, name: str) -> None:
        self.store.put(f"servers/{name}", self.random.choice(ODD_ENDPOINTS))
        self.store.put(f"{HOSTS_PREFIX}{name}", self.random.choice(ODD_HOSTS))


@dataclass
class FaultyEndpoint(SoakEndpoint):
    """Writes refusals once more, and goes on with other events than the next.

    The first stream that is resumed here goes on wrongly, later ones by chance.

    Refusals come before the response to a later request of the same connection, with
    the identifier of an earlier one or without any. One without ends the connection, so
    that the host hears nothing of what the response after it states.
    """

    stray_random: Random = field(default_factory=Random)
    stray_count: int = 0
    wrong_rests: int = 0
    _last_ids: WeakKeyDictionary = field(default_factory=WeakKeyDictionary)
    _unheard_ids: set[str] = field(default_factory=set)

    async def _run_script(self, script, arrival, writer) -> bool:
        earlier = self._last_ids.get(writer)
        self._last_ids[writer] = arrival.request_id
        if earlier is not None and self.stray_random.random() < STRAY_SHARE:
            self.stray_count += 1
            has_id = self.stray_random.random() < 0.5
            identifier = b"X-Request-Id: %s\r\n" % earlier.encode() if has_id else b""
            if not has_id:
                self._unheard_ids.add(arrival.request_id)
            writer.write(REFUSAL % identifier)
            await asyncio.sleep(self.stray_random.choice((0.0, 0.01)))
        return await super()._run_script(script, arrival, writer)

    def _record_statements(self, data: bytes, arrival: Arrival) -> None:
        if arrival.request_id not in self._unheard_ids:
            super()._record_statements(data, arrival)

    def _response_script(self, arrival: Arrival) -> list[Step]:
        last = int(arrival.headers.get("last-event-id", 0))
        is_resumed = "last-event-id" in arrival.headers
        is_first = self.wrong_rests == 0
        draw = self.stray_random.random()
        if not is_resumed or not (is_first or draw < WRONG_REST_SHARE):
            return super()._response_script(arrival)
        self.wrong_rests += 1
        stream = arrival.request_line.split()[1].rpartition("/")[2]

        def event(number: int) -> bytes:
            return expected_event(stream, number, self.version)

        return self.stray_random.choice(
            [
                stream_response(),
                stream_response(b"HTTP/1.1 500 Failed\r\n\r\n"),
                unframed_stream(b"HTTP/1.1 500 Failed\r\n\r\n"),
                stream_response(b"data: failed\n\n"),
                stream_response(b'{"error": "failed"}\n\n'),
                stream_response(event(last + 2), event(EVENT_COUNT)),
                stream_response(event(last), event(last + 1)),
                stream_response(event(1)),
                plain_response(b"failed", status=500),
                plain_response(b"failed"),
            ]
        )
