"""Attempts whose connection takes long to open."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from tests.entry.entry_site import CUT_DAEMON
from tests.standins.scripted_endpoint import plain_response

HOSTS = ("host-1", "host-2", "host-3", "host-4")
FROZEN = ("host-2", "host-3")
ROUTE_SECONDS = 2.0
TOLERATED_SECONDS = 0.5
REQUESTS = 40
RUN_SECONDS = 0.02


@pytest.fixture
async def addresses(site):
    """The addresses of four daemons; two are frozen, and one has no links."""
    site.daemon_module = CUT_DAEMON
    for number in (1, 2):
        endpoint = await site.add_endpoint(f"e{number}", 10 + number)
        endpoint.default_script = [RUN_SECONDS, *plain_response()]
    found = {n: site.start_daemon(n, 21 + i) for i, n in enumerate(HOSTS)}
    for address in found.values():
        await site.wait_ready(address)
    await asyncio.sleep(1.0)
    return found


# Endpoints were handed the time that was left before the connection opened.
async def test_endpoint_is_handed_the_time_left_after_the_connection_opened(
    site, addresses
):
    site.set_links("host-1", "hang")
    await asyncio.sleep(0.1)
    for name in FROZEN:
        site.processes[name].send_signal(signal.SIGSTOP)
    sent_at = {}

    async def send(number):
        sent_at[f"r{number}"] = time.monotonic()
        await site.send_request(addresses["host-1"], "/plain/x", f"r{number}")

    try:
        await asyncio.gather(*(send(number) for number in range(REQUESTS)))
    finally:
        for name in FROZEN:
            site.processes[name].send_signal(signal.SIGCONT)
    over = [
        arrival.at
        + int(arrival.headers["x-deadline-ms"]) / 1000
        - (sent_at[arrival.request_id] + ROUTE_SECONDS)
        for arrival in site.arrivals
    ]
    waits = [arrival.at - sent_at[arrival.request_id] for arrival in site.arrivals]

    assert max(waits) > TOLERATED_SECONDS
    assert max(over) <= TOLERATED_SECONDS
