"""The proxy of the soak, and what the checks take from it."""

from __future__ import annotations

import asyncio

import pytest

from tests.networks import next_network
from tests.soak.proxy import LinkState, Proxy
from tests.standins.scripted_endpoint import ScriptedEndpoint, rejection
from tests.statement_rule import requests_during_rests

PORT = 9000
REST_SECONDS = 3.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n"


async def send_request(network, number):
    """Send a request through the proxy, and wait a little for a response."""
    reader, writer = await asyncio.open_connection(
        f"{network}.31", PORT, local_addr=(f"{network}.{number}", 0)
    )
    writer.write(REQUEST)
    try:
        return await asyncio.wait_for(reader.read(100), 0.2)
    except TimeoutError:
        return b""
    finally:
        writer.close()


# A host that was told nothing, since its link dropped the response, broke the rule.
@pytest.mark.parametrize(
    ("link_state", "is_violation"),
    [(LinkState.DROPPING_RESPONSES, False), (LinkState.HEALTHY, True)],
)
async def test_rest_that_the_link_lost_does_not_bind_the_host(link_state, is_violation):
    network = next_network()
    endpoint = ScriptedEndpoint("e1", default_script=rejection(REST_SECONDS))
    server = await endpoint.start(f"{network}.32", PORT)
    proxy = Proxy((f"{network}.32", PORT), link_state)
    listener = await proxy.start(f"{network}.31", PORT)
    for _ in range(6):
        await send_request(network, 21)
        await asyncio.sleep(0.3)

    def is_untold(host, start, end):
        return proxy.has_lost_rest(host, start)

    assert bool(requests_during_rests(endpoint, is_untold)) is is_violation
    assert bool(proxy.lost_rests) is not is_violation
    listener.close()
    server.close()
