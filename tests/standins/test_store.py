"""Stand-in of the store, as its callers see it."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import ClientSession, web

from tests.networks import next_network
from tests.standins.store import StoreStandIn

PORT = 2380
KEY = "op/config"


@pytest.fixture
async def store():
    return StoreStandIn()


@pytest.fixture
async def watch(store):
    """Watch the key from a position for some milliseconds, and return the response."""
    address = f"{next_network()}.2"
    runner = web.AppRunner(store.build_app(), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, PORT).start()

    async def call(position, milliseconds):
        query = {"prefix": KEY, "start_after": position, "wait_ms": milliseconds}
        url = f"http://{address}:{PORT}/kv-watch"
        async with session.get(url, params=query) as response:
            return await response.json()

    async with ClientSession() as session:
        yield call
    await runner.cleanup()


# A host never applied a configuration that was written as its watch ended.
@pytest.mark.parametrize("seconds", [0.01, 0.03, 0.05, 0.08, 0.12])
async def test_no_change_is_lost_between_two_watches(store, watch, seconds):
    store.put_json(KEY, {"version": 1})
    position = (await watch(0, 0))["as_of"]
    pending = asyncio.create_task(watch(position, 20))
    await asyncio.sleep(seconds)
    store.put_json(KEY, {"version": 2})
    ended = await pending
    following = await watch(ended["as_of"], 0)

    assert len(ended["events"]) + len(following["events"]) == 1
