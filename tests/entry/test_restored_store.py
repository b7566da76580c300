"""Hosts whose store returns from an older copy."""

from __future__ import annotations

import asyncio

import pytest

RESTORED = "store restored from an older copy"


@pytest.fixture
async def daemon_address(site):
    """The address of a daemon that may serve keys while they are not confirmed."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    address = site.start_daemon("host-1", 21, key_removal_ms=5000)
    await site.wait_ready(address)
    return address


def contents_by_window(site):
    contents: dict[int, set[str]] = {}
    for _, _, report in site.store.usage:
        content = str(sorted(report["counts"].items()))
        contents.setdefault(report["window_id"], set()).add(content)
    return contents


async def wait_for_log(site, host, text):
    async with asyncio.timeout(15):
        while text not in site.read_log(host):
            await asyncio.sleep(0.05)


async def send_requests(site, addresses, count, name):
    for number in range(count):
        address = addresses[number % len(addresses)]
        response = await site.send_request(address, "/plain/", f"{name}{number}")
        assert response.status == 200
        await asyncio.sleep(0.05)


async def test_duties_go_on_with_rising_tokens_and_one_content_a_window(
    site, daemon_address
):
    """The ledger and the lease of the holder are lost twice."""
    other = site.start_daemon("host-2", 22, key_removal_ms=5000)
    await site.wait_ready(other)
    for round_number in range(2):
        copy = site.store.take_copy()
        reported = len(site.store.usage)
        async with asyncio.timeout(15):
            while len(site.store.usage) < reported + 2:
                await send_requests(
                    site, (daemon_address, other), 10, f"r{round_number}-"
                )
        site.store.restore(copy, rewrite_seconds=0.5)
    reported = len(site.store.usage)
    async with asyncio.timeout(15):
        while len(site.store.usage) < reported + 2:
            await asyncio.sleep(0.1)

    assert all(len(contents) == 1 for contents in contents_by_window(site).values())
    tokens = [token for _, token, _ in site.store.usage]
    assert tokens == sorted(tokens)
    holders_by_token = {}
    for holder, token, _ in site.store.usage:
        assert holders_by_token.setdefault(token, holder) == holder


async def test_new_holder_reports_no_window_that_may_have_been_reported(
    site, daemon_address
):
    """The holder and the report that it stored are lost at the same time."""
    other = site.start_daemon("host-2", 22, key_removal_ms=5000)
    await site.wait_ready(other)
    copy = site.store.take_copy()
    await send_requests(site, (daemon_address, other), 20, "r")
    async with asyncio.timeout(15):
        while len(site.store.usage) < 2:
            await asyncio.sleep(0.05)
    holder = site.store.usage[-1][0]
    survivor = ({"host-1", "host-2"} - {holder}).pop()
    site.processes[holder].kill()
    site.store.restore(copy, rewrite_seconds=0.5)
    async with asyncio.timeout(15):
        while not [u for u in site.store.usage if u[0] == survivor]:
            await asyncio.sleep(0.1)

    assert all(len(contents) == 1 for contents in contents_by_window(site).values())
    tokens = [token for _, token, _ in site.store.usage]
    assert tokens == sorted(tokens)


async def test_configuration_and_removed_keys_do_not_return(site, daemon_address):
    copy = site.store.take_copy()
    site.configure(2, tenants=[{"name": "w1", "api_keys": ["key-2"]}])
    await wait_for_log(site, "host-1", '"version":2')
    site.store.restore(copy, rewrite_seconds=1.5)
    await wait_for_log(site, "host-1", RESTORED)
    fresh = site.start_daemon("host-2", 22, key_removal_ms=5000)
    await site.wait_ready(fresh)
    statuses = set()
    for number in range(20):
        for address in (daemon_address, fresh):
            request_id = f"{address}-{number}"
            response = await site.send_request(
                address, "/plain/", request_id, key="key-1"
            )
            statuses.add(response.status)
        await asyncio.sleep(0.1)
    response = await site.send_request(fresh, "/plain/", "last", key="key-2")

    assert 200 not in statuses
    assert response.status == 200
    assert site.read_log("host-1").count('"event":"configuration applied"') == 2


async def test_gone_and_draining_endpoints_get_no_requests_after_a_restore(
    site, daemon_address
):
    copy = site.store.take_copy()
    await site.add_endpoint("e3", 13)
    site.put_endpoint_entry("e1", f"{site.network}.11", "plain-app", state="draining")
    site.store.delete("servers/e2")
    await asyncio.sleep(1.5)
    site.store.restore(copy, rewrite_seconds=1.5)
    await wait_for_log(site, "host-1", RESTORED)
    for number in range(40):
        response = await site.send_request(daemon_address, "/plain/", f"r{number}")
        assert response.status == 200
        await asyncio.sleep(0.05)

    assert site.endpoints["e1"].arrivals == []
    assert site.endpoints["e2"].arrivals == []


async def test_host_is_registered_again(site, daemon_address):
    copy = site.store.take_copy()
    copy.items.pop("amaranthhollow/hosts/host-1")
    site.store.restore(copy)
    async with asyncio.timeout(10):
        while "amaranthhollow/hosts/host-1" not in site.store.items:
            await asyncio.sleep(0.05)
