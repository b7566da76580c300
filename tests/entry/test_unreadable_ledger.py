"""A ledger of usage in the store that no host can read."""

from __future__ import annotations

import asyncio

import pytest

from amaranthhollow.entry.usage_duty import USAGE_KEY

ODD_LEDGERS_BY_NAME = {
    "no document": b"\xc1",
    "nested": b"\x92" + b"\x91" * 100_000,
    "a count below 0": b"\x92\x80\x81\xa1a\x81\x07\x81\xa1w\xff",
}


# A new holder of the duties took the ledger for empty, and reported again what the
# last one had reported, with other counts.
@pytest.mark.parametrize("name", ODD_LEDGERS_BY_NAME)
async def test_windows_that_may_have_been_reported_are_not_reported_again(site, name):
    await site.add_endpoint("e1", 11)
    addresses = [site.start_daemon(f"host-{n}", 20 + n) for n in (1, 2)]
    for address in addresses:
        await site.wait_ready(address)
    for number in range(24):
        await site.send_request(addresses[number % 2], "/plain/", f"r{number}")
        await asyncio.sleep(0.2)
    holder = site.store.usage[0][0]
    site.processes[holder].kill()
    site.processes[holder].wait()
    reported = [report["window_id"] for _, _, report in site.store.usage]
    site.store.put(USAGE_KEY, ODD_LEDGERS_BY_NAME[name])

    (survivor,) = {"host-1", "host-2"} - {holder}
    async with asyncio.timeout(20):
        while not (later := [u for u in site.store.usage if u[0] == survivor]):
            address = addresses[int(survivor[-1]) - 1]
            await site.send_request(address, "/plain/", f"s{len(site.arrivals)}")
            await asyncio.sleep(0.2)

    assert not set(reported) & {report["window_id"] for _, _, report in later}
    assert "background task failed" not in site.read_log(survivor)
