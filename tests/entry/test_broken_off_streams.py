"""Streams that broke off, and what the next endpoint sends in their place."""

from __future__ import annotations

import pytest

from tests.standins.scripted_endpoint import (
    plain_response,
    sse_event,
    stream_response,
    unframed_stream,
)

REQUESTS = 6
# Either endpoint may be asked first; one of so many requests begins at e1.
MAX_REQUESTS = 60
ERROR_HEAD = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
RESTS_BY_NAME = {
    "no event": stream_response(),
    "the head of an error": stream_response(ERROR_HEAD),
    "an unframed head of an error": unframed_stream(ERROR_HEAD),
    "an event without an identifier": stream_response(b"data: failed\n\n"),
    "a later event": stream_response(sse_event(5)),
    "the last event again": stream_response(sse_event(1), sse_event(2)),
    "an unreadable identifier": stream_response(b"id: two\ndata: x\n\n"),
    "a document": plain_response(b'{"error": "failed"}'),
}
# By then a stream has failed at e1, and another endpoint is asked first.
CUT_AFTER_ONE = stream_response(sse_event(1), 0.05, "reset", has_last_chunk=False)


async def begin_streams(site, address: str) -> list:
    """Return the responses that began at e1, which breaks off after event 1."""
    site.endpoints["e1"].default_script = CUT_AFTER_ONE
    responses, begun = [], []
    while len(responses) < REQUESTS or not begun:
        assert len(responses) < MAX_REQUESTS
        request_id = f"r{len(responses)}"
        responses.append(await site.send_request(address, "/stream/", request_id))
        begun_at_e1 = {
            arrival.request_id
            for arrival in site.endpoints["e1"].arrivals
            if "last-event-id" not in arrival.headers
        }
        begun = [r for n, r in enumerate(responses) if f"r{n}" in begun_at_e1]
    return begun


# Callers found the text of an error in their stream, or a stream that had an end.
@pytest.mark.parametrize("name", RESTS_BY_NAME)
async def test_broken_off_stream_goes_on_only_with_its_next_event(
    site, daemon_address, name
):
    site.endpoints["e2"].default_script = RESTS_BY_NAME[name]
    for response in await begin_streams(site, daemon_address):
        assert not response.is_complete
        assert response.body == sse_event(1)


async def test_broken_off_stream_goes_on_with_its_next_events(site, daemon_address):
    rest = stream_response(sse_event(2) + sse_event(3), sse_event(4))
    site.endpoints["e2"].default_script = rest
    for response in await begin_streams(site, daemon_address):
        assert response.is_complete
        assert response.body == b"".join(map(sse_event, (1, 2, 3, 4)))


# What precedes the fault is sent, and the rest is asked for at another endpoint.
async def test_events_before_a_repeated_one_are_kept(site, daemon_address):
    site.endpoints["e2"].default_script = stream_response(
        sse_event(2), sse_event(3), sse_event(2), sse_event(4)
    )
    for response in await begin_streams(site, daemon_address):
        assert not response.is_complete
        assert response.body == b"".join(map(sse_event, (1, 2, 3)))


# A caller that takes a stream up joins what it gets to what it has.
@pytest.mark.parametrize(
    "rest",
    [
        stream_response(sse_event(5)),
        stream_response(sse_event(1)),
        stream_response(b"data: failed\n\n"),
        stream_response(ERROR_HEAD),
    ],
    ids=["later event", "earlier event", "no identifier", "head of an error"],
)
async def test_caller_gets_no_other_event_than_the_next(site, daemon_address, rest):
    for endpoint in site.endpoints.values():
        endpoint.default_script = stream_response(
            sse_event(1), sse_event(2), 0.05, "reset", has_last_chunk=False
        )
    begun = await site.send_request(daemon_address, "/stream/", "r1")
    assert begun.body == sse_event(1) + sse_event(2)
    for endpoint in site.endpoints.values():
        endpoint.default_script = rest
    response = await site.send_request(
        daemon_address,
        "/stream/",
        "r2",
        headers="Last-Event-ID: 2\r\nResumes: r1\r\n",
    )

    assert response.status == 502
    assert response.body == b""


async def test_endpoint_whose_identifiers_leave_numbers_out_is_resumed(
    site, daemon_address
):
    site.endpoints["e1"].default_script = stream_response(
        sse_event(4), sse_event(8), 0.05, "reset", has_last_chunk=False
    )
    site.endpoints["e2"].default_script = stream_response(sse_event(12), sse_event(16))
    responses = [
        await site.send_request(daemon_address, "/stream/", f"r{number}")
        for number in range(REQUESTS)
    ]

    all_events = b"".join(map(sse_event, (4, 8, 12, 16)))
    assert all_events in [r.body for r in responses if r.is_complete]
