"""Streams that are cut, resumed, cancelled by callers, or slow."""

from __future__ import annotations

import asyncio

import pytest

from tests.standins.scripted_endpoint import (
    plain_response,
    sse_event,
    stream_response,
    unframed_stream,
)


async def test_cut_stream_is_resumed_if_route_allows(site, daemon_address):
    cut = stream_response(
        sse_event(1),
        sse_event(2),
        b"id: 3\ndata: par",
        0.05,
        "reset",
        has_last_chunk=False,
    )
    rest = stream_response(sse_event(3), sse_event(4))
    for endpoint in site.endpoints.values():
        endpoint.queued_scripts.extend([cut, rest])
        endpoint.default_script = rest
    # Endpoint e1 cuts every stream but its second one; e2 cuts none.
    site.endpoints["e2"].queued_scripts.clear()
    site.endpoints["e1"].default_script = cut
    responses = [
        await site.send_request(daemon_address, "/stream/", f"r{n}") for n in range(6)
    ]

    resumed = [a for a in site.arrivals if "last-event-id" in a.headers]
    assert resumed
    assert all(a.headers["last-event-id"] == "2" for a in resumed)
    all_events = b"".join(map(sse_event, (1, 2, 3, 4)))
    assert all_events in [
        response.body for response in responses if response.is_complete
    ]
    for response in responses:
        assert response.body.count(b"id: 3") <= 1


async def test_cut_stream_without_resumption_is_incomplete(site, daemon_address):
    cut = stream_response(sse_event(1), 0.05, "reset", has_last_chunk=False)
    for endpoint in site.endpoints.values():
        endpoint.default_script = cut
    response = await site.send_request(daemon_address, "/draft/", "r1")

    assert not response.is_complete
    assert len(site.arrivals) == 1


async def test_failed_resumption_cuts_the_started_response(site, daemon_address):
    cut = stream_response(sse_event(1), 0.05, "reset", has_last_chunk=False)
    for endpoint in site.endpoints.values():
        endpoint.queued_scripts.extend(
            [cut, plain_response(status=500, body=b"failed")]
        )
        endpoint.default_script = plain_response(status=500, body=b"failed")
    site.endpoints["e2"].queued_scripts.clear()
    responses = [
        await site.send_request(daemon_address, "/stream/", f"r{n}") for n in range(4)
    ]

    started = [response for response in responses if response.status == 200]
    assert started
    for response in started:
        assert not response.is_complete
        assert b"HTTP/1.1" not in response.body


# A stream was ended as complete at an endpoint that crashed before its first event.
async def test_resumed_stream_that_ends_without_events_is_incomplete(
    site, daemon_address
):
    cut = stream_response(sse_event(1), 0.05, "reset", has_last_chunk=False)
    for endpoint in site.endpoints.values():
        endpoint.default_script = unframed_stream(0.05)
    site.endpoints["e1"].default_script = cut
    responses = [
        await site.send_request(daemon_address, "/stream/", f"r{n}") for n in range(4)
    ]

    started = [response for response in responses if response.status == 200]
    assert started
    assert not any(response.is_complete for response in started)


async def test_disconnecting_caller_cancels_its_stream(site, daemon_address):
    endless = stream_response(sse_event(1), *([0.1, sse_event(2)] * 40))
    for endpoint in site.endpoints.values():
        endpoint.default_script = endless
    reader, writer = await asyncio.open_connection(daemon_address, 8221)
    writer.write(
        b"GET /draft/ HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: r1\r\n"
        b"Authorization: Bearer key-1\r\n\r\n"
    )
    await reader.readuntil(b"piece 1")
    writer.transport.abort()
    async with asyncio.timeout(1.0):
        while not any(e.lost_connections for e in site.endpoints.values()):
            await asyncio.sleep(0.02)


async def test_slow_response_is_not_cut_without_retry_budget(site):
    """A late response may still arrive, so inactivity alone is no reason to cut it."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    address = site.start_daemon("host-1", 21, repeat_ratio=0, repeat_slack=0)
    await site.wait_ready(address)
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path["/stream/x"] = stream_response(
            sse_event(1), 1.2, sse_event(2)
        )
        endpoint.scripts_by_path["/plain/x"] = [1.2, *plain_response()]
    streamed = await site.send_request(address, "/stream/x", "r1")
    complete = await site.send_request(address, "/plain/x", "r2")

    assert (streamed.is_complete, streamed.body) == (True, sse_event(1) + sse_event(2))
    assert (complete.status, complete.body) == (200, b"whole")
    assert len(site.arrivals) == 2


# A host with no other request at a sound endpoint left it after 0.6 s without data.
@pytest.mark.parametrize("parts", [(sse_event(1), 1.2), (sse_event(1),)])
async def test_pause_of_a_sound_endpoint_does_not_move_a_stream(site, parts):
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    script = stream_response(*parts, sse_event(2))
    if len(parts) == 1:
        script = [0.8, *script]
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path["/stream/x"] = script
    response = await site.send_request(address, "/stream/x", "r1")

    assert (response.is_complete, response.body) == (True, sse_event(1) + sse_event(2))
    assert len(site.arrivals) == 1


async def test_slow_response_of_the_only_endpoint_is_not_cut(site):
    await site.add_endpoint("e1", 11)
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    site.endpoints["e1"].default_script = stream_response(
        sse_event(1), 1.2, sse_event(2)
    )
    response = await site.send_request(address, "/stream/x", "r1")

    assert (response.is_complete, response.body) == (True, sse_event(1) + sse_event(2))
