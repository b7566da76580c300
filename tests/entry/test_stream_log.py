"""Records of streams in the store, some of which no host can use."""

from __future__ import annotations

import time
from types import SimpleNamespace

import msgspec
import pytest
from result import Ok

from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decisions.stream_origins import (
    OriginTable,
    StreamOrigin,
    StreamRecord,
    VersionHistory,
)
from amaranthhollow.entry.stream_log import StreamLog
from amaranthhollow.serving.clock import now


class Store:
    """Returns the given values as records, in their order in the store."""

    def __init__(self, *values):
        self.values = list(values)
        self.raises = None

    async def list(self, prefix, timeout):
        if self.raises is not None:
            raise self.raises
        items = [
            SimpleNamespace(value=value, position=StorePosition(0, revision))
            for revision, value in enumerate(self.values)
        ]
        return Ok(SimpleNamespace(items=tuple(reversed(items))))


@pytest.fixture
def log():
    """The log of a host that has restarted, with nothing in the store."""
    host = SimpleNamespace(
        name="host-1",
        reachable_hosts=(),
        store=Store(),
        settings=SimpleNamespace(is_first_start=False),
        wall_time=time.time,
    )
    return StreamLog(host, OriginTable(), VersionHistory(is_first_start=False))


def record(version, written_at=0.0, origins=None):
    wall_time = time.time() + written_at
    return msgspec.msgpack.encode(
        StreamRecord(wall_time, wall_time - 60, {"model": (version,)}, origins or {})
    )


ORIGINS = {"r1": StreamOrigin("model", "v1", time.time() + 900)}


@pytest.mark.parametrize(
    "odd",
    [
        b"",
        b"\xc1",
        b"\x94" + b"\x91" * 100_000,
        record("v" * 100_000),
        record("v2", written_at=1e300),
        record("v2", written_at=float("nan")),
        record("v2", origins={"r1": StreamOrigin("model", "v2", float("inf"))}),
    ],
    ids=["empty", "no document", "nested", "long", "huge", "nan", "infinite"],
)
async def test_other_records_are_used_beside_an_odd_one(log, odd):
    log._host.store.values = [odd, record("v1", origins=ORIGINS), odd]
    await log.read()

    assert log._table.find("r1", "model") == "v1"
    assert log._history.versions_since(0.0) == {"model": ("v1",)}


# A record of a host whose clock was ahead hid those that were stored after it.
async def test_the_record_that_was_stored_last_is_adopted(log):
    log._host.store.values = [record("v1", written_at=300.0), record("v2")]
    await log.read()

    assert log._history.versions_since(0.0) == {"model": ("v2",)}


async def test_versions_of_a_clock_that_was_ahead_were_not_seen_in_the_future(log):
    log._host.store.values = [record("v1", written_at=300.0)]
    await log.read()

    assert not log._history.versions_since(now() + 1.0)


# Every later read, and every request that takes a stream up, raised the exception of
# the first one again.
async def test_reads_go_on_after_one_that_raised_an_exception(log):
    log._host.store.raises = RecursionError("nested")
    with pytest.raises(RecursionError):
        await log.read()
    log._host.store.raises = None
    log._host.store.values = [record("v1", origins=ORIGINS)]
    await log.read()

    assert log._table.find("r1", "model") == "v1"
