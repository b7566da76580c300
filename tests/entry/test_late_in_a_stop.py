"""Requests that a host is still reading late in the time of a planned stop."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.entry.entry_site import API_KEY, CALLER_PORT, read_response

# The daemons of these tests stop within 6 s and reject requests after 3 s.
REJECTING_SECONDS = 3.2
SHUTDOWN_SECONDS = 6.0
BODY = b"body"


async def begin_request(address: str, name: str):
    """Send the head of a request that may run once, without its body."""
    reader, writer = await asyncio.open_connection(address, CALLER_PORT)
    writer.write(
        f"POST /once/ HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {name}\r\n"
        f"X-Deadline-Ms: 4000\r\nAuthorization: Bearer {API_KEY}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n".encode()
    )
    return reader, writer


# Callers got no answer, although it was known that their requests would be rejected.
async def test_request_that_will_be_rejected_is_so_before_its_body(
    site, daemon_address
):
    site.terminate("host-1")
    await asyncio.sleep(1.0)
    # A host without requests in progress stops once no more can come.
    _, earlier_writer = await begin_request(daemon_address, "earlier")
    await asyncio.sleep(REJECTING_SECONDS - 1.0)
    started_at = time.monotonic()
    reader, writer = await begin_request(daemon_address, "late")
    response = await read_response(reader)
    writer.close()
    earlier_writer.close()

    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert time.monotonic() - started_at < 0.5
    assert not site.arrivals


# Bodies that were still on their way at the end were cut without an answer.
@pytest.mark.parametrize("sends_body", [False, True])
async def test_request_is_rejected_whose_body_is_not_complete_in_time(
    site, daemon_address, sends_body
):
    site.terminate("host-1")
    await asyncio.sleep(1.0)
    reader, writer = await begin_request(daemon_address, "slow")
    if sends_body:
        writer.write(BODY[:1])
    async with asyncio.timeout(SHUTDOWN_SECONDS):
        response = await read_response(reader)
    writer.close()

    assert response.status == 503
    assert not site.arrivals


async def test_request_that_is_complete_before_requests_are_rejected_is_served(
    site, daemon_address
):
    site.terminate("host-1")
    await asyncio.sleep(1.0)
    reader, writer = await begin_request(daemon_address, "slow")
    await asyncio.sleep(1.0)
    writer.write(BODY)
    response = await read_response(reader)
    writer.close()

    assert response.status == 200
    assert [a.request_id for a in site.arrivals] == ["slow"]
