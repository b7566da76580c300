"""What endpoints tell a host that relays the connections of its peers.

To an endpoint, a relayed request comes from the host that relays it.
"""

from __future__ import annotations

import asyncio
import json
import time

import pytest

from tests.entry.entry_site import CUT_DAEMON
from tests.standins.scripted_endpoint import plain_response, rejection
from tests.statement_rule import requests_during_rests, requests_while_leaving

CUT_HOSTS = ("host-1", "host-2", "host-3", "host-4")
RELAY = "host-5"
REST_SECONDS = 30.0
# More than the half second in which a host that was told may go on.
STEP_SECONDS = 0.7
DRAIN_SECONDS = 2.0


class RelayedSite:
    """Four hosts without links to the two endpoints, and one that has them."""

    def __init__(self, site):
        self.site = site
        self.addresses = {}
        self.sent_at_by_request = {}

    async def start(self):
        self.site.daemon_module = CUT_DAEMON
        for number in (1, 2):
            await self.site.add_endpoint(f"e{number}", 10 + number)
        for number, name in enumerate((*CUT_HOSTS, RELAY)):
            self.addresses[name] = self.site.start_daemon(name, 21 + number)
        for address in self.addresses.values():
            await self.site.wait_ready(address)
        await asyncio.sleep(1.0)
        for name in CUT_HOSTS:
            self.site.set_links(name, "hang")
        await self.wait_relayed()

    async def wait_relayed(self):
        """Send until every host without links has its requests relayed."""
        async with asyncio.timeout(15):
            for name in CUT_HOSTS:
                responses = [0]
                while responses[-3:] != [200, 200, 200]:
                    responses.append((await self.send(name)).status)

    async def send(self, name, path="/plain/x"):
        request_id = f"{name}/{time.monotonic_ns()}"
        self.sent_at_by_request[request_id] = time.monotonic()
        address = self.addresses[name]
        return await self.site.send_request(address, path, request_id)

    def rest_violations(self):
        endpoints = self.site.endpoints.values()
        return [text for e in endpoints for text in requests_during_rests(e)]


@pytest.fixture
async def relayed(site):
    """A site at which the relay's requests and those of its peers are served."""
    found = RelayedSite(site)
    await found.start()
    return found


# A relay was told to stay away, and went on for every peer that had not heard of it.
@pytest.mark.parametrize("first", [CUT_HOSTS[0], RELAY])
async def test_relay_keeps_the_rest_that_an_endpoint_asked_of_it(relayed, first):
    for endpoint in relayed.site.endpoints.values():
        endpoint.default_script = rejection(REST_SECONDS)
    await relayed.send(first)
    for name in (*CUT_HOSTS, RELAY, *CUT_HOSTS):
        await asyncio.sleep(STEP_SECONDS)
        response = await relayed.send(name, "/once/x")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0

    assert relayed.rest_violations() == []


async def test_relay_serves_its_peers_by_other_endpoints_during_a_rest(relayed):
    resting = relayed.site.endpoints["e1"]
    resting.default_script = rejection(REST_SECONDS)
    responses = []
    for _ in range(4):
        for name in CUT_HOSTS:
            responses.append((await relayed.send(name)).status)
            await asyncio.sleep(0.1)

    assert resting.rejections
    assert responses == [200] * len(responses)
    assert relayed.rest_violations() == []


async def test_relay_sends_again_once_the_rest_has_ended(relayed):
    for endpoint in relayed.site.endpoints.values():
        endpoint.default_script = rejection(1.5)
    await relayed.send(CUT_HOSTS[0])
    for endpoint in relayed.site.endpoints.values():
        endpoint.default_script = plain_response()
    await asyncio.sleep(2.0)

    for name in (*CUT_HOSTS, RELAY):
        assert (await relayed.send(name)).status == 200


# Only the peer knew what the relay had been told, and took it with it.
async def test_relay_knows_that_an_endpoint_leaves_though_its_peer_is_killed(relayed):
    leaving = relayed.site.endpoints["e1"]
    relayed.site.endpoints["e2"].default_script = rejection(0.2)
    leaving.is_leaving = True
    name = CUT_HOSTS[0]
    sending = asyncio.create_task(relayed.send(name))
    async with asyncio.timeout(5):
        while not leaving.leaving_told:
            await asyncio.sleep(0)
    relayed.site.processes[name].kill()
    await asyncio.wait([sending])
    relayed.site.endpoints["e2"].default_script = plain_response()
    await asyncio.sleep(DRAIN_SECONDS + 0.1)
    for _ in range(6):
        await relayed.send(RELAY)

    violations = requests_while_leaving(leaving, relayed.sent_at_by_request)
    assert violations == []


async def test_relay_sends_nothing_of_its_peers_to_an_endpoint_that_leaves(relayed):
    leaving = relayed.site.endpoints["e1"]
    leaving.is_leaving = True
    for name in (*CUT_HOSTS, RELAY):
        await relayed.send(name)
    await asyncio.sleep(DRAIN_SECONDS + 0.1)
    for name in (*CUT_HOSTS, RELAY):
        assert (await relayed.send(name)).status == 200

    violations = requests_while_leaving(leaving, relayed.sent_at_by_request)
    assert violations == []


async def test_request_names_the_host_that_relayed_it(relayed):
    name = CUT_HOSTS[0]
    await relayed.send(name)
    request_id = list(relayed.sent_at_by_request)[-1]

    lines = []
    async with asyncio.timeout(2):
        while not lines:
            await asyncio.sleep(0.02)
            written = relayed.site.read_log(name).splitlines()
            lines = [line for line in written if f'"request":"{request_id}"' in line]
    assert json.loads(lines[0])["relays"] == [relayed.addresses[RELAY]]
