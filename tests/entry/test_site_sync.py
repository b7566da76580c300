"""Configuration and endpoints of a host, with and without access to the store."""

from __future__ import annotations

import asyncio

from tests.entry.entry_site import STORE_PORT


async def test_requests_get_retry_after_once_keys_may_be_outdated(site, daemon_address):
    site.store.faults["is_silent"] = True
    await site.wait_ready(daemon_address, is_ready=False)
    response = await site.send_request(daemon_address, "/plain/", "r1")
    unknown = await site.send_request(daemon_address, "/plain/", "r2", key="wrong")

    assert response.status == 503
    assert "retry-after" in response.headers
    assert unknown.status == 503
    site.store.faults["is_silent"] = False
    await site.wait_ready(daemon_address)
    assert (await site.send_request(daemon_address, "/plain/", "r3")).status == 200


async def test_requests_get_retry_after_without_configuration(site):
    site.store.delete("op/config")
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address, is_ready=False)
    response = await site.send_request(address, "/plain/", "r1")

    assert response.status == 503
    assert "retry-after" in response.headers


async def test_host_without_store_access_gets_configuration_from_peers(
    site, daemon_address
):
    store_address = site.second_store_address
    address = site.start_daemon("host-2", 22, store_address=store_address)
    await site.wait_ready(address)
    site.store.faults["refusing_addresses"] = [store_address]
    await asyncio.sleep(4.0)
    site.configure(2, tenants=[{"name": "w1", "api_keys": ["key-2"]}])
    await asyncio.sleep(2.0)

    assert await site.ready_status(address) == 200
    assert (
        await site.send_request(address, "/plain/", "r1", key="key-2")
    ).status == 200
    assert (
        await site.send_request(address, "/plain/", "r2", key="key-1")
    ).status == 401
    request = b"GET /kv-key?key=op/config HTTP/1.1\r\nHost: store\r\n\r\n"
    refused = await site.send_bytes(store_address, STORE_PORT, request)
    assert refused.status == 503


async def test_unreadable_configuration_or_entry_is_ignored(site, daemon_address):
    site.store.put("op/config", b"{not json")
    site.store.put("servers/odd", b"\xff\x00")
    site.put_endpoint_entry("e3", "not an address", "plain-app", slots="many")
    await asyncio.sleep(1.5)

    assert (await site.send_request(daemon_address, "/plain/", "r1")).status == 200
    assert "configuration unreadable" in site.read_log("host-1")
    assert site.read_log("host-1").count("endpoint entry unreadable") == 2


async def test_draining_endpoint_gets_no_new_requests(site, daemon_address):
    site.put_endpoint_entry("e1", f"{site.network}.11", "plain-app", state="draining")
    await asyncio.sleep(1.2)
    site.put_endpoint_entry("e1", f"{site.network}.11", "plain-app", state="ready")
    await asyncio.sleep(1.2)
    for number in range(10):
        await site.send_request(daemon_address, "/plain/", f"r{number}")

    assert site.endpoints["e1"].arrivals == []
    assert len(site.endpoints["e2"].arrivals) == 10


async def test_entries_that_expire_in_a_store_outage_stay_for_a_grace_period(
    site, daemon_address
):
    entries = {k: i.value for k, i in site.store.items.items() if "servers" in k}
    site.store.faults["down"] = True
    await asyncio.sleep(2.5)
    for key in entries:
        site.store.delete(key)
    site.store.faults["down"] = False
    await asyncio.sleep(1.0)
    response_after_outage = await site.send_request(daemon_address, "/plain/", "r1")
    site.store.put("servers/e2", entries["servers/e2"])
    await asyncio.sleep(4.0)
    for number in range(6):
        await site.send_request(daemon_address, "/plain/", f"s{number}")

    assert response_after_outage.status == 200
    late = [a.request_id for a in site.endpoints["e1"].arrivals]
    assert not [request_id for request_id in late if request_id.startswith("s")]


async def test_cached_prefix_is_fetched_from_the_other_endpoint(site, daemon_address):
    """Only if the engine can copy prefixes, and never from an address in a request."""
    prompt = "X-Prefix-Hash: {}:9000,bb:100\r\nKv-Fetch: 1.2.3.4:5\r\n"
    await site.send_request(
        daemon_address, "/plain/", "r1", headers=prompt.format("aa")
    )
    engine = {"kv_tokens": 90_000, "moves": True}
    site.configure(2, services=[{"name": "plain-app", "engine": engine}])
    async with asyncio.timeout(5):
        while '"version":2' not in site.read_log("host-1"):
            await asyncio.sleep(0.05)
    await site.send_request(
        daemon_address, "/plain/", "r2", headers=prompt.format("cc")
    )

    first, second = sorted(site.arrivals, key=lambda arrival: arrival.request_id)
    address_by_id = {"e1": f"{site.network}.11:9000", "e2": f"{site.network}.12:9000"}
    other = {"e1": "e2", "e2": "e1"}[second.headers["x-expect-instance"]]
    assert "kv-fetch" not in first.headers
    assert second.headers["kv-fetch"] == address_by_id[other]


# Changes that together exceed what a response may have kept a host from the newest one.
async def test_configuration_is_read_after_more_changes_than_a_watch_may_return(
    site, daemon_address
):
    site.store.faults["refuse_connections"] = True
    await asyncio.sleep(0.5)
    padding = "x" * 900_000
    for version in range(2, 12):
        site.configure(version, padding=padding)
    site.configure(12, tenants=[{"name": "w1", "api_keys": ["key-2"]}])
    site.store.faults["refuse_connections"] = False
    await asyncio.sleep(5.0)

    response = await site.send_request(daemon_address, "/plain/", "r1", key="key-2")
    assert response.status == 200
