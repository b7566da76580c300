"""Documents that hosts fetch from peers of this version and of earlier ones."""

from __future__ import annotations

import zlib
from types import SimpleNamespace

import pytest

from amaranthhollow.decisions.peer_protocols import PeerProtocol, PeerProtocols
from amaranthhollow.entry.peer_documents import PeerDocuments
from amaranthhollow.platform.documents import decode_configuration, decode_endpoint
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
