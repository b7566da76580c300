"""Statements of endpoints whose entries in the list are late, or missing for a time."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.entry.entry_site import CUT_DAEMON
from tests.limit_rule import LimitRecord
from tests.standins.scripted_endpoint import plain_response, rejection
from tests.statement_rule import requests_during_rests, requests_while_leaving

REST_SECONDS = 6.0
SENDING_SECONDS = 3.0
RUN_SECONDS = 0.05
BATCH_SIZE = 8
DRAIN_SECONDS = 2.0
# Several reads of the list.
LISTING_SECONDS = 1.5


def wall_time_ms():
    return int(time.time() * 1000)


class Restarts:
    """One host in front of two endpoints; the first one starts again."""

    def __init__(self, site, address):
        self.site = site
        self.address = address
        self.first = site.endpoints["e1"]
        self.sent_at_by_request = {}

    def list_first(self, born, endpoint_id="e1"):
        address = f"{self.site.network}.11"
        self.site.put_endpoint_entry(endpoint_id, address, "plain-app", born=born)

    def unlist_first(self):
        self.site.store.delete("servers/e1")

    async def send(self):
        request_id = f"r/{time.monotonic_ns()}"
        self.sent_at_by_request[request_id] = time.monotonic()
        await self.site.send_request(self.address, "/plain/x", request_id)

    async def send_batches(self, seconds):
        """Send so much at a time that a host needs both endpoints."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.gather(*(self.send() for _ in range(BATCH_SIZE)))

    async def send_until(self, is_done):
        async with asyncio.timeout(5):
            while not is_done():
                await self.send()

    async def be_told_to_rest(self):
        """Let the first endpoint ask for a rest once, and accept requests again."""
        self.first.queued_scripts.append(rejection(REST_SECONDS))
        await self.send_until(lambda: self.first.rejections)


@pytest.fixture
async def restarts(site):
    site.daemon_module = CUT_DAEMON
    for number in (1, 2):
        endpoint = await site.add_endpoint(f"e{number}", 10 + number)
        endpoint.default_script = [RUN_SECONDS, *plain_response()]
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    await asyncio.sleep(1.0)
    return Restarts(site, address)


# An endpoint that had just started again asked for a rest, which was forgotten when the
# list named its new incarnation.
@pytest.mark.parametrize("endpoint_id", ["e1", "e3"])
async def test_rest_holds_though_the_list_names_the_endpoint_later(
    restarts, endpoint_id
):
    born = wall_time_ms()
    await restarts.be_told_to_rest()
    if endpoint_id != "e1":
        restarts.unlist_first()
    restarts.list_first(born, endpoint_id)
    await restarts.send_batches(SENDING_SECONDS)

    assert requests_during_rests(restarts.first) == []


async def test_leaving_holds_though_the_list_names_the_endpoint_later(restarts):
    born = wall_time_ms()
    restarts.first.is_leaving = True
    await restarts.send_until(lambda: restarts.first.leaving_told)
    restarts.first.is_leaving = False
    restarts.list_first(born)
    await asyncio.sleep(DRAIN_SECONDS + 0.1)
    await restarts.send_batches(1.0)

    late = requests_while_leaving(restarts.first, restarts.sent_at_by_request)
    assert late == []


# A rest was forgotten when the endpoint's entry was missing for a moment.
async def test_rest_holds_though_the_entry_is_missing_for_a_time(restarts):
    await restarts.be_told_to_rest()
    restarts.unlist_first()
    await asyncio.sleep(LISTING_SECONDS)
    restarts.list_first(born=1)
    await restarts.send_batches(SENDING_SECONDS)

    assert requests_during_rests(restarts.first) == []


async def test_rest_ends_with_the_endpoint_that_asked_for_it(restarts):
    await restarts.be_told_to_rest()
    await asyncio.sleep(LISTING_SECONDS)
    started_at = time.monotonic()
    restarts.list_first(wall_time_ms())
    await asyncio.sleep(LISTING_SECONDS)
    await restarts.send_batches(1.0)

    assert [a for a in restarts.first.arrivals if a.at > started_at]


async def keep_within_limit(restarts, change_list):
    """Change the list while many callers wait, and return the largest window."""
    endpoint, rate = restarts.first, 0.5
    endpoint.rate_limit = rate
    record = LimitRecord(rate, time.monotonic())
    await restarts.send_until(lambda: endpoint.arrivals)
    record.record_told("host-1", time.monotonic())
    callers = [asyncio.create_task(restarts.send_batches(9.0)) for _ in range(4)]
    await asyncio.sleep(5.0)
    await change_list()
    await asyncio.gather(*callers)
    for arrival in endpoint.arrivals:
        record.record_arrival("host-1", arrival.at)
    return record.largest_window(), record.allowed


# A limit was forgotten with the incarnation that the list had, and callers that waited
# were all sent at once.
async def test_limit_holds_though_the_list_names_the_endpoint_later(restarts):
    born = wall_time_ms()

    async def list_it():
        restarts.list_first(born)

    largest, allowed = await keep_within_limit(restarts, list_it)
    assert largest <= allowed


async def test_limit_holds_though_the_entry_is_missing_for_a_time(restarts):
    async def unlist_and_list():
        restarts.unlist_first()
        await asyncio.sleep(LISTING_SECONDS)
        restarts.list_first(born=1)

    largest, allowed = await keep_within_limit(restarts, unlist_and_list)
    assert largest <= allowed
