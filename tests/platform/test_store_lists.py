"""Lists of the store that have many pages, or pages of faulty content."""

from __future__ import annotations

from base64 import b64encode
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

import msgspec
import pytest
from result import Err, Ok

from amaranthhollow.decisions.oversized_items import MAX_ITEM_BYTES, OversizedItems
from amaranthhollow.platform.store import MAX_PAGES, StoreClient
from amaranthhollow.serving.http_client import CallResponse

SMALL = b64encode(b"{}").decode()
LARGE = b64encode(bytes(MAX_ITEM_BYTES + 3)).decode()


class PagedStore:
    """Responds to lists with pages of one item each."""

    def __init__(self, value_by_key):
        self.value_by_key = dict(value_by_key)
        self.pages_read = 0
        self.advances = True

    async def call(self, call, timeout_seconds):
        self.pages_read += 1
        query = parse_qs(urlsplit(call.target.decode()).query)
        after = query.get("start_after", [""])[0] if self.advances else ""
        left = [key for key in sorted(self.value_by_key) if key > after]
        items = [
            {"key": key, "revision": 1, "value": self.value_by_key[key]}
            for key in left[:1]
        ]
        body = {"items": items, "as_of": 5, "has_more": len(left) > 1}
        return Ok(CallResponse(200, msgspec.json.encode(body)))


def keys(listed):
    return [item.key for item in listed.ok_value.items]


# Hosts took all engines for gone, as a list of over 16 pages ended after the 16th.
@pytest.mark.parametrize("count", [17, 100])
async def test_list_of_many_pages_is_whole(count):
    store = PagedStore({f"servers/{n:03}": SMALL for n in range(count)})

    assert len(keys(await StoreClient(store).list("servers/"))) == count


async def test_part_of_a_list_is_an_error():
    endless = PagedStore({f"servers/{n:05}": SMALL for n in range(MAX_PAGES + 1)})
    stuck = PagedStore({"servers/a": SMALL, "servers/b": SMALL})
    stuck.advances = False
    empty = SimpleNamespace(call=_empty_page)

    for store in (endless, stuck, empty):
        listed = await StoreClient(store).list("servers/")
        assert isinstance(listed, Err)


async def _empty_page(call, timeout_seconds):
    return Ok(CallResponse(200, b'{"items": [], "as_of": 5, "has_more": true}'))


# Beside large entries of another writer, each list took many pages and all the memory.
async def test_large_items_are_left_out_and_not_read_again():
    large = {f"servers/a-{n:03}": LARGE for n in range(30)}
    store = PagedStore({**large, "servers/x": SMALL, "servers/y": SMALL})
    client, oversized = StoreClient(store), OversizedItems()
    first = await client.list("servers/", oversized=oversized)
    pages_before = store.pages_read
    second = await client.list("servers/", oversized=oversized)

    assert keys(first) == keys(second) == ["servers/x", "servers/y"]
    assert len(oversized) == 30
    assert store.pages_read - pages_before == 2


async def test_list_that_failed_midway_goes_on_from_there():
    large = {f"servers/a-{n:03}": LARGE for n in range(30)}
    store = PagedStore({**large, "servers/x": SMALL})
    client, oversized = StoreClient(store), OversizedItems()
    answer = store.call

    async def fail_after_ten(call, timeout_seconds):
        if store.pages_read == 10:
            store.pages_read += 1
            return Ok(CallResponse(503, b""))
        return await answer(call, timeout_seconds)

    store.call = fail_after_ten
    failed = await client.list("servers/", oversized=oversized)
    listed = await client.list("servers/", oversized=oversized)

    assert isinstance(failed, Err)
    assert keys(listed) == ["servers/x"]
    assert store.pages_read == 32
