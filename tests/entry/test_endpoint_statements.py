"""Endpoints that say in their answers that they leave, or for how long they rest.

The operators' rules: a host that has passed on that an endpoint leaves sends it nothing
later than the drain time, and one that was told to stay away for a time sends at most
two requests from half a second later until its end.
"""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.standins.scripted_endpoint import plain_response, sse_event, stream_response

DRAIN_SECONDS = 2.0
TOLD_SECONDS = 0.5
TOLERATED_REQUESTS = 2


@pytest.fixture
async def addresses(site):
    """The addresses of two daemons in front of two endpoints."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    found = [site.start_daemon(f"host-{n}", 21 + n) for n in (1, 2)]
    for address in found:
        await site.wait_ready(address)
    await asyncio.sleep(1.0)
    return found


def rejection(seconds):
    headers = b"X-Not-Run: 1\r\nRetry-After: %s\r\n" % seconds
    return plain_response(status=503, extra_headers=headers)


async def send_for(site, addresses, seconds, path="/plain/x"):
    """Send requests to all hosts in turn, and return the responses."""
    responses = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for address in addresses:
            request_id = f"{address}/{time.monotonic_ns()}"
            responses.append(await site.send_request(address, path, request_id))
        await asyncio.sleep(0.02)
    return responses


def arrivals_after(endpoint, instant, address=""):
    return [
        arrival
        for arrival in endpoint.arrivals
        if arrival.at > instant and arrival.request_id.startswith(address)
    ]


# A leaving endpoint that the list did not name as such got requests until its end.
async def test_leaving_endpoint_gets_no_request_of_any_host(site, addresses):
    leaving = site.endpoints["e1"]
    leaving.is_leaving = True
    await send_for(site, addresses[:1], 1.0)
    told_at = time.monotonic()
    responses = await send_for(site, addresses, 2.5)

    assert leaving.arrivals
    assert not arrivals_after(leaving, told_at + TOLD_SECONDS)
    assert {response.status for response in responses} == {200}


# A host kept to itself what an endpoint had told it.
async def test_leaving_endpoint_gets_no_request_of_a_host_that_only_a_peer_told(
    site, addresses
):
    leaving = site.endpoints["e1"]
    leaving.is_leaving = True
    await send_for(site, addresses[:1], 0.6)
    assert leaving.leaving_told
    leaving.is_leaving = False
    await asyncio.sleep(1.0)
    await send_for(site, addresses[1:], 1.0)

    assert not arrivals_after(leaving, 0.0, addresses[1])


async def test_leaving_endpoint_gets_no_request_of_a_host_without_store(
    site, addresses
):
    site.store.faults["is_silent"] = True
    leaving = site.endpoints["e1"]
    leaving.is_leaving = True
    await send_for(site, addresses, 0.6)
    told_at = time.monotonic()
    await send_for(site, addresses, 1.0)

    assert not arrivals_after(leaving, told_at)


async def test_running_stream_of_a_leaving_endpoint_goes_on(site, addresses):
    leaving = site.endpoints["e1"]
    site.endpoints["e2"].default_script = rejection(b"5")
    leaving.is_leaving = True
    leaving.scripts_by_path["/stream/x"] = stream_response(
        sse_event(1), 0.4, sse_event(2), 0.4, sse_event(3)
    )
    response = await site.send_request(addresses[0], "/stream/x", "r1")

    assert response.is_complete
    assert response.body == sse_event(1) + sse_event(2) + sse_event(3)


async def test_endpoint_that_started_again_is_not_leaving(site, addresses):
    site.endpoints["e1"].is_leaving = True
    await send_for(site, addresses, 0.6)
    site.endpoints["e1"].is_leaving = False
    address = f"{site.network}.11"
    born = int(time.time() * 1000)
    site.put_endpoint_entry("e1", address, "plain-app", born=born, sequence=1)
    await asyncio.sleep(1.5)
    restarted_at = time.monotonic()
    await send_for(site, addresses, 1.0)

    assert arrivals_after(site.endpoints["e1"], restarted_at)


# A 503 with a time was one more failed attempt, and the endpoint was tried again.
@pytest.mark.parametrize("seconds", [b"2", b"1.5", b"60"])
async def test_resting_endpoint_gets_no_request_of_the_host_it_told(
    site, addresses, seconds
):
    resting = site.endpoints["e1"]
    for endpoint in site.endpoints.values():
        endpoint.default_script = rejection(seconds)
    await send_for(site, addresses, 0.5)
    told_at = time.monotonic()
    await send_for(site, addresses, min(float(seconds), 2.0) - 0.6)

    for address in addresses:
        arrived = arrivals_after(resting, told_at + TOLD_SECONDS, address)
        assert len(arrived) <= TOLERATED_REQUESTS


async def test_rest_binds_only_the_host_that_was_told(site, addresses):
    resting = site.endpoints["e1"]
    resting.default_script = rejection(b"30")
    await send_for(site, addresses[:1], 0.6)
    resting.default_script = plain_response()
    await send_for(site, addresses[1:], 0.8)

    assert arrivals_after(resting, 0.0, addresses[1])


async def test_rest_ends(site, addresses):
    resting = site.endpoints["e1"]
    resting.default_script = rejection(b"1")
    site.endpoints["e2"].default_script = rejection(b"30")
    await send_for(site, addresses, 0.5)
    resting.default_script = plain_response()
    await asyncio.sleep(1.2)
    rested_at = time.monotonic()
    await send_for(site, addresses, 1.0)

    assert arrivals_after(resting, rested_at)


async def test_request_is_refused_at_once_while_all_endpoints_rest(site, addresses):
    for endpoint in site.endpoints.values():
        endpoint.default_script = rejection(b"4")
    await send_for(site, addresses[:1], 0.5)
    before = sum(len(e.arrivals) for e in site.endpoints.values())
    started_at = time.monotonic()
    response = await site.send_request(addresses[0], "/once/x", "r-last")
    seconds = time.monotonic() - started_at

    assert response.status == 503
    assert 2.0 < float(response.headers["retry-after"]) < 6.0
    assert seconds < 0.3
    assert sum(len(e.arrivals) for e in site.endpoints.values()) == before


# Other endpoints were sent to one that rests, to fetch cached parts of prompts from it.
async def test_nothing_is_fetched_from_a_resting_endpoint(site, addresses):
    engine = {"kv_tokens": 90_000, "moves": True}
    site.configure(2, services=[{"name": "plain-app", "engine": engine}])
    resting, other = site.endpoints["e1"], site.endpoints["e2"]
    resting.default_script = rejection(b"60")
    async with asyncio.timeout(5):
        while not resting.arrivals or '"version":2' not in site.read_log("host-1"):
            await send_for(site, addresses[:1], 0.1)
    prompt = "X-Prefix-Hash: aa:9000,bb:100\r\n"
    for number in range(4):
        request_id = f"prompt-{number}"
        await site.send_request(addresses[0], "/plain/", request_id, headers=prompt)

    sent = [a for a in other.arrivals if a.request_id.startswith("prompt-")]
    assert sent
    assert not [a for a in sent if "kv-fetch" in a.headers]
