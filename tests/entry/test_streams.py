"""Streams: cut, resumed, left by their callers, and waited for."""

from __future__ import annotations

import asyncio

from tests.standins.wire_endpoint import event, plain, stream


async def test_a_cut_stream_goes_on_where_it_may(site, daemon_address):
    cut = stream(event(1), event(2), b"id: 3\ndata: par", 0.05, "reset", ends=False)
    rest = stream(event(3), event(4))
    for endpoint in site.endpoints.values():
        endpoint.scripts.extend([cut, rest])
        endpoint.usual = rest
    # One endpoint cuts; the other one answers its first request by cutting, too.
    site.endpoints["e2"].scripts.clear()
    site.endpoints["e1"].usual = cut
    answers = [
        await site.send_request(daemon_address, "/stream/", f"r{n}") for n in range(6)
    ]

    resumed = [a for a in site.arrivals if "last-event-id" in a.headers]
    assert resumed
    assert all(a.headers["last-event-id"] == "2" for a in resumed)
    whole = b"".join(map(event, (1, 2, 3, 4)))
    assert whole in [answer.body for answer in answers if answer.is_complete]
    for answer in answers:
        assert answer.body.count(b"id: 3") <= 1


async def test_a_cut_stream_that_may_not_be_repeated_looks_cut(site, daemon_address):
    cut = stream(event(1), 0.05, "reset", ends=False)
    for endpoint in site.endpoints.values():
        endpoint.usual = cut
    answer = await site.send_request(daemon_address, "/draft/", "r1")

    assert not answer.is_complete
    assert len(site.arrivals) == 1


async def test_a_failure_on_resumption_cuts_the_answer_that_has_begun(
    site, daemon_address
):
    cut = stream(event(1), 0.05, "reset", ends=False)
    for endpoint in site.endpoints.values():
        endpoint.scripts.extend([cut, plain(status=500, body=b"failed")])
        endpoint.usual = plain(status=500, body=b"failed")
    site.endpoints["e2"].scripts.clear()
    answers = [
        await site.send_request(daemon_address, "/stream/", f"r{n}") for n in range(4)
    ]

    begun = [answer for answer in answers if answer.status == 200]
    assert begun
    for answer in begun:
        assert not answer.is_complete
        assert b"HTTP/1.1" not in answer.body


async def test_a_client_that_leaves_cancels_its_stream(site, daemon_address):
    endless = stream(event(1), *([0.1, event(2)] * 40))
    for endpoint in site.endpoints.values():
        endpoint.usual = endless
    reader, writer = await asyncio.open_connection(daemon_address, 8221)
    writer.write(
        b"GET /draft/ HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: r1\r\n"
        b"Authorization: Bearer key-1\r\n\r\n"
    )
    await reader.readuntil(b"piece 1")
    writer.transport.abort()
    async with asyncio.timeout(1.0):
        while not any(e.lost for e in site.endpoints.values()):
            await asyncio.sleep(0.02)


async def test_a_slow_endpoint_is_not_left_without_room_for_a_repeat(site):
    """Silence alone is no reason to cut an answer that may still come."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    address = site.start_daemon("host-1", 21, repeat_ratio=0, repeat_slack=0)
    await site.wait_ready(address)
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path["/stream/x"] = stream(event(1), 1.2, event(2))
        endpoint.scripts_by_path["/plain/x"] = [1.2, *plain()]
    streamed = await site.send_request(address, "/stream/x", "r1")
    whole = await site.send_request(address, "/plain/x", "r2")

    assert (streamed.is_complete, streamed.body) == (True, event(1) + event(2))
    assert (whole.status, whole.body) == (200, b"whole")
    assert len(site.arrivals) == 2


async def test_the_only_endpoint_is_not_left_for_its_silence(site):
    await site.add_endpoint("e1", 11)
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    site.endpoints["e1"].usual = stream(event(1), 1.2, event(2))
    answer = await site.send_request(address, "/stream/x", "r1")

    assert (answer.is_complete, answer.body) == (True, event(1) + event(2))
