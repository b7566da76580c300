"""Keeps origins of streams and seen versions in the store, for a loss of all hosts."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err, Ok

from amaranthhollow.decisions.stream_origins import (
    MIN_STREAM_SECONDS,
    StreamOrigin,
    StreamRecord,
)
from amaranthhollow.decoding import decode_msgpack
from amaranthhollow.platform.names import SYSTEM_KEY_PREFIX
from amaranthhollow.platform.store import Write
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.decisions.stream_origins import OriginTable, VersionHistory
    from amaranthhollow.entry.host import Host

__all__ = ["StreamLog"]

RECORD_PREFIX = f"{SYSTEM_KEY_PREFIX}streams/"
# What was begun in the last interval is lost with all hosts.
WRITE_INTERVAL_SECONDS = 0.2
# A record without origins only states which versions were seen.
IDLE_WRITE_INTERVAL_SECONDS = 2.0
# A slow store responds within 0.25 s; callers wait for no longer.
CALL_TIMEOUT_SECONDS = 0.4
# Callers that take up streams after a restart share one read.
READ_INTERVAL_SECONDS = 1.0
# A key is written again after 40 s, when the streams of its record have ended.
RECORD_COUNT = 200
MAX_PENDING_ORIGINS = 4_000

log = logbook.Logger("streams")


class StreamLog:
    """Writes records on behalf of all hosts at one of them, and reads them at any.

    The first reachable host by name writes. Origins are stored only while a service
    has several versions; otherwise the seen versions tell where any stream began.
    """

    def __init__(self, host: Host, table: OriginTable, history: VersionHistory) -> None:
        """Fill ``table`` and ``history`` from what is stored."""
        self._host = host
        self._table = table
        self._history = history
        self._pending: dict[str, StreamOrigin] = {}
        self._next_write_at = 0.0
        self._has_pending = asyncio.Event()
        self._written_versions: dict[str, frozenset[str]] = {}
        self._read_at = float("-inf")
        self._reading: asyncio.Task[None] | None = None
        self._has_read = host.settings.is_first_start

    def writers(self) -> tuple[str, ...]:
        """Return the hosts that write records, except this one."""
        writer = min((*self._host.reachable_hosts, self._host.name))
        return () if writer == self._host.name else (writer,)

    def add(self, request_id: str, origin: StreamOrigin) -> None:
        """Store an origin soon, if this host is the one to do so."""
        if self.writers():
            return
        self._pending[request_id] = origin
        self._has_pending.set()
        if len(self._pending) > MAX_PENDING_ORIGINS:
            del self._pending[next(iter(self._pending))]

    def update(self) -> None:
        """Store a version that has come since the last record soon, as origins are.

        It may have begun streams, and be gone when hosts read the record.
        """
        if self.writers() or not self._has_read:
            return
        versions = self._history.versions_since(now() - MIN_STREAM_SECONDS)
        for service, found in versions.items():
            if not self._written_versions.get(service, frozenset()).issuperset(found):
                self._has_pending.set()

    async def run(self) -> None:
        """Write records until cancelled, while this host is the one to do so."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)
            await self._wait_until_due()
            if self.writers():
                continue
            if not self._has_read:
                await self.read()
            # A record of a host that has just started would hide the last one.
            if self._has_read and self._history.complete_since != inf:
                await self._write()

    async def _wait_until_due(self) -> None:
        """Wait for origins to store, or for the interval of idle writes."""
        try:
            async with asyncio.timeout(max(0.0, self._next_write_at - now())):
                await self._has_pending.wait()
        except TimeoutError:
            self._next_write_at = now() + IDLE_WRITE_INTERVAL_SECONDS

    async def read(self) -> None:
        """Read all records, unless that was done a moment ago."""
        if now() - self._read_at < READ_INTERVAL_SECONDS:
            return
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._read())
        await asyncio.shield(self._reading)

    async def _read(self) -> None:
        host = self._host
        listed = await host.store.list(RECORD_PREFIX, CALL_TIMEOUT_SECONDS)
        self._read_at = now()
        if isinstance(listed, Err):
            return
        records = [
            record
            for item in sorted(listed.ok_value.items, key=lambda item: item.position)
            if (record := _decode_record(item.value)) is not None
        ]
        self._has_read = True
        wall_time = host.wall_time()
        for record in records:
            for request_id, origin in record.origins.items():
                if origin.expires_at > wall_time:
                    self._table.record(request_id, origin)
        if records:
            self._adopt(records[-1])

    def _adopt(self, record: StreamRecord) -> None:
        """Take over what the host that stored the last record had seen by then."""
        instant = now()
        offset = instant - self._host.wall_time()
        self._history.adopt(
            record.versions_by_service,
            min(record.written_at + offset, instant),
            min(record.complete_since + offset, instant),
        )

    async def _write(self) -> None:
        self._next_write_at = now() + IDLE_WRITE_INTERVAL_SECONDS
        wall_time = self._host.wall_time()
        pending, self._pending = self._pending, {}
        self._has_pending.clear()
        offset = wall_time - now()
        versions = self._history.versions_since(now() - MIN_STREAM_SECONDS)
        complete_since = max(0.0, self._history.complete_since + offset)
        record = StreamRecord(wall_time, complete_since, versions, pending)
        number = int(wall_time / WRITE_INTERVAL_SECONDS) % RECORD_COUNT
        key = f"{RECORD_PREFIX}{number}"
        write = Write(key, msgspec.msgpack.encode(record))
        stored = await self._host.store.change({}, (write,), CALL_TIMEOUT_SECONDS)
        if isinstance(stored, Err):
            self._pending = {**pending, **self._pending}
            self._has_pending.set()
        else:
            self._written_versions = {
                service: frozenset(found) for service, found in versions.items()
            }


def _decode_record(value: bytes) -> StreamRecord | None:
    match decode_msgpack(value, StreamRecord):
        case Ok(record):
            return record
        case Err(error):
            log.warning("stored origins unreadable", extra={"error": error})
            return None
