"""Documents that hosts fetch from peers of this version and of earlier ones."""

from __future__ import annotations

import asyncio
import zlib
from types import SimpleNamespace

import msgspec
import pytest
from result import Ok

from amaranthhollow.decisions.peer_protocols import PeerProtocol, PeerProtocols
from amaranthhollow.entry.peer_documents import PeerDocuments
from amaranthhollow.platform.documents import decode_configuration, decode_endpoint
from amaranthhollow.serving.http_client import CallResponse
from amaranthhollow.state.site_state import SiteDecoders, SiteState

VALUE = b'{"version": 1, "routes": [], "services": [], "limits": {}}'
ADDRESSES = {"earlier": "10.0.0.1", "current": "10.0.0.2", "unknown": "10.0.0.3"}


@pytest.fixture
def documents():
    """The documents of a host with a peer of an earlier version and one of its own."""
    infos = {name: SimpleNamespace(address=a) for name, a in ADDRESSES.items()}
    membership = SimpleNamespace(peers=list(infos), info=infos.get)
    protocols = PeerProtocols()
    protocols.record("earlier", 1, PeerProtocol.WHOLE_REPORTS)
    protocols.record("current", 1, PeerProtocol.REPORT_CHANGES)
    site = SiteState(SiteDecoders(decode_configuration, decode_endpoint))
    site.configuration, site.configuration_value = object(), VALUE
    ports = SimpleNamespace(first=1)
    host = SimpleNamespace(
        site=site,
        membership=membership,
        protocols=protocols,
        settings=SimpleNamespace(peer_ports=ports),
    )
    return PeerDocuments(host)


async def serve(documents, address, target):
    bodies = []
    exchange = SimpleNamespace(
        head=SimpleNamespace(path=target),
        peer_address=address,
        respond=lambda status, headers, body: bodies.append(body),
    )
    await documents.serve(exchange)
    return bodies[0]


@pytest.mark.parametrize("target", [b"/configuration", b"/endpoints"])
async def test_document_is_served_in_the_form_that_the_peer_reads(documents, target):
    plain = await serve(documents, ADDRESSES["earlier"], target)
    for name in ("current", "unknown"):
        compressed = await serve(documents, ADDRESSES[name], target)
        assert zlib.decompress(compressed) == plain
    if target == b"/configuration":
        assert plain == VALUE


# A document whose fetch had raised an exception was never fetched again.
@pytest.mark.parametrize(
    "body",
    [
        msgspec.msgpack.encode([2, [["e1", b"{}", -1]], 0]),
        msgspec.msgpack.encode([2, [], -1]),
        msgspec.msgpack.encode([2, [], 2**63]),
        b"\x93\x02" + b"\x91" * 100_000,
        b"\xc1",
    ],
    ids=["revision", "negative era", "huge era", "nested", "no document"],
)
async def test_document_is_fetched_again_after_an_odd_one(documents, body):
    good = msgspec.msgpack.encode([3, [], 1])
    bodies = [zlib.compress(body), zlib.compress(good)]

    async def call(request, timeout):
        return Ok(CallResponse(200, bodies.pop(0)))

    for address in ADDRESSES.values():
        documents._clients_by_address[address] = SimpleNamespace(call=call)
    for _ in range(2):
        documents.fetch("current", b"/endpoints", 1.0)
        await asyncio.gather(*documents._tasks, return_exceptions=True)
        await asyncio.sleep(0)

    assert documents._host.site.snapshot.revision == 3


async def test_document_is_fetched_again_after_an_exception(documents):
    calls = []

    async def call(request, timeout):
        calls.append(request)
        raise RecursionError("nested")

    for address in ADDRESSES.values():
        documents._clients_by_address[address] = SimpleNamespace(call=call)
    for _ in range(2):
        documents.fetch("current", b"/endpoints", 1.0)
        await asyncio.gather(*documents._tasks, return_exceptions=True)
        await asyncio.sleep(0)

    assert len(calls) == 2
