"""Connections to endpoints that a peer relays."""

from __future__ import annotations

import asyncio
import gc
import time

import pytest

from amaranthhollow.peers.relay_listener import RelayListener
from amaranthhollow.peers.relay_protocol import FrameReader, RelayStatus
from amaranthhollow.peers.relayed_connection import connect_through_peer
from amaranthhollow.peers.relayed_exchange import RelayedExchange
from amaranthhollow.platform.endpoints import encode_rejection, find_identifier
from amaranthhollow.serving.endpoint_connection import (
    BodyPart,
    ConnectionLost,
    ResponseEnd,
)
from amaranthhollow.serving.messages import ResponseHead, find_header
from tests.networks import next_network
from tests.standins.scripted_endpoint import (
    ScriptedEndpoint,
    plain_response,
    unframed_stream,
)

PORT = 9000
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n"


class RelayedSite:
    """A relay and an endpoint on one network, and the policy of the relay."""

    def __init__(self):
        self.network = next_network()
        self.endpoint = ScriptedEndpoint("e1")
        self.has_links = True
        self.rejects_for = None
        self.results = []
        self.statuses = []
        self.relay = RelayListener(f"{self.network}.21", PORT, self)

    def is_endpoint(self, target):
        return target == f"{self.network}.11:{PORT}"

    def can_reach(self, target):
        return self.has_links

    def rejection(self, target, identifier):
        if self.rejects_for is None:
            return None
        return encode_rejection(identifier, self.rejects_for)

    def find_identifier(self, headers):
        return find_identifier(headers)

    def notify_connect(self, target, succeeded):
        self.results.append(succeeded)

    def notify_response_head(self, target, head):
        assert self.is_endpoint(target)
        self.statuses.append(
            (head.status, find_header(head.headers, b"server-leaving"))
        )

    async def connect(self, number=11, timeout=1.0):
        relay = (f"{self.network}.21", PORT)
        return await connect_through_peer(
            relay, (f"{self.network}.{number}", PORT), timeout
        )


@pytest.fixture
async def relayed():
    site = RelayedSite()
    server = await site.endpoint.start(f"{site.network}.11", PORT)
    await site.relay.start()
    yield site
    server.close()
    site.relay.stop()


async def read_response(connection):
    """Return the events of a response, bodies joined."""
    connection.send(REQUEST)
    body, events = b"", []
    while True:
        match await connection.read():
            case BodyPart(data):
                body += data
            case ResponseHead() as head:
                events.append(head.status)
            case (ResponseEnd() | ConnectionLost()) as end:
                return [*events, body, end]


async def test_responses_are_relayed_one_after_the_other(relayed):
    large = b"x" * 3_000_000
    connection = await relayed.connect()
    relayed.endpoint.queued_scripts.extend([plain_response(large), plain_response()])

    assert await read_response(connection) == [200, large, ResponseEnd()]
    assert connection.is_reusable
    assert await read_response(connection) == [200, b"whole", ResponseEnd()]
    assert relayed.endpoint.connection_count == 1
    assert relayed.results == [True]


async def test_end_of_a_response_without_length_is_relayed(relayed):
    relayed.endpoint.default_script = unframed_stream(b"id: 1\ndata: x\n\n")
    connection = await relayed.connect()

    assert await read_response(connection) == [
        200,
        b"id: 1\ndata: x\n\n",
        ResponseEnd(),
    ]


async def test_reset_by_the_endpoint_is_relayed_as_a_loss(relayed):
    relayed.endpoint.default_script = [*unframed_stream(b"x")[:-1], 0.05, "reset"]
    connection = await relayed.connect()

    assert isinstance((await read_response(connection))[-1], ConnectionLost)


# A response without length seemed complete when the relaying peer was killed.
async def test_end_of_the_relay_is_a_loss(relayed):
    relayed.endpoint.default_script = [*unframed_stream(b"x")[:-1], 5.0]
    connection = await relayed.connect()
    reading = asyncio.create_task(read_response(connection))
    await asyncio.sleep(0.1)
    for peer in list(relayed.relay.connections):
        peer.transport.close()

    assert isinstance((await reading)[-1], ConnectionLost)


async def test_abort_reaches_the_endpoint(relayed):
    relayed.endpoint.default_script = [5.0, *plain_response()]
    connection = await relayed.connect()
    connection.send(REQUEST)
    await asyncio.sleep(0.1)
    connection.abort()
    async with asyncio.timeout(1.0):
        while relayed.relay.connections:
            await asyncio.sleep(0.02)


# A caller that left while a peer was connecting left the connection to it open.
async def test_cancelled_attempt_leaves_no_connection(relayed):
    silent = await asyncio.start_server(
        lambda reader, writer: asyncio.sleep(5.0), f"{relayed.network}.22", PORT
    )
    connecting = asyncio.create_task(
        connect_through_peer(
            (f"{relayed.network}.22", PORT), (f"{relayed.network}.11", PORT), 5.0
        )
    )
    await asyncio.sleep(0.1)
    connecting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await connecting
    await asyncio.sleep(0.1)
    silent.close()

    transports = [
        found
        for found in gc.get_objects()
        if isinstance(found, asyncio.Transport) and not found.is_closing()
    ]
    peers = [found.get_extra_info("peername") for found in transports]
    assert (f"{relayed.network}.22", PORT) not in peers


async def test_only_endpoints_are_relayed_to(relayed):
    assert await relayed.connect(number=21) is RelayStatus.ENDPOINT_FAILED
    assert relayed.results == []


async def test_failed_endpoint_is_reported(relayed):
    relayed.endpoint.server.close()

    assert await relayed.connect() is RelayStatus.ENDPOINT_FAILED
    assert relayed.results == [False]


async def test_peer_without_links_says_so_at_once(relayed):
    relayed.has_links = False
    started_at = time.monotonic()

    assert await relayed.connect() is RelayStatus.NO_LINKS
    assert time.monotonic() - started_at < 0.3


async def test_unreachable_peer_counts_as_one_without_links(relayed):
    relayed.relay.stop()

    assert await relayed.connect() is RelayStatus.NO_LINKS


@pytest.mark.parametrize(
    "data", [b"\0\0\0\5", b"GET / HTTP/1.1\r\n\r\n" * 10, b"\xff" * 9]
)
async def test_bytes_that_name_no_endpoint_reach_none(relayed, data):
    reader, writer = await asyncio.open_connection(f"{relayed.network}.21", PORT)
    writer.write(data)
    await asyncio.sleep(0.1)
    writer.close()

    assert relayed.endpoint.connection_count == 0
    await asyncio.sleep(0.1)
    assert not relayed.relay.connections


# A relay read nothing of what endpoints told it, and passed on what it may not send.
async def test_relay_learns_what_the_endpoint_says_in_each_response(relayed):
    connection = await relayed.connect()
    relayed.endpoint.queued_scripts.extend(
        [plain_response(), plain_response(status=503)]
    )
    await read_response(connection)
    relayed.endpoint.is_leaving = True
    await read_response(connection)

    assert relayed.statuses == [(200, None), (503, b"1")]


async def test_interim_response_is_no_statement(relayed):
    relayed.endpoint.default_script = [
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        *plain_response(),
    ]
    connection = await relayed.connect()
    await read_response(connection)

    assert relayed.statuses == [(200, None)]


async def test_rejected_request_of_a_kept_connection_does_not_reach_the_endpoint(
    relayed,
):
    connection = await relayed.connect()
    await read_response(connection)
    relayed.rejects_for = 2.5
    events = await read_response(connection)

    assert events == [503, b"", ResponseEnd()]
    assert not connection.is_reusable
    assert len(relayed.endpoint.arrivals) == 1


async def test_rejection_of_a_long_request_reaches_the_peer(relayed):
    connection = await relayed.connect()
    relayed.rejects_for = 1.0
    body = b"x" * 4_000_000
    connection.send(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    head = await connection.read()
    assert (head.status, find_header(head.headers, b"x-not-run")) == (503, b"1")
    assert await connection.read() == ResponseEnd()
    connection.close()
    assert relayed.endpoint.arrivals == []


async def test_rest_of_a_request_that_was_begun_is_relayed(relayed):
    connection = await relayed.connect()
    body = b"x" * 60_000
    head = b"POST / HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n"
    connection.send(head % len(body) + body[:100])
    await asyncio.sleep(0.1)
    relayed.rejects_for = 2.5
    connection._transport.write(body[100:])

    assert (await connection.read()).status == 200
    assert relayed.endpoint.arrivals[0].body == body


# A refusal that the endpoint wrote once more counted as the end of the next request,
# whose rest was refused as not run though its beginning had reached the endpoint.
@pytest.mark.parametrize("identifier", [b"", b"X-Request-Id: r1\r\n"])
async def test_refusal_of_an_earlier_request_ends_no_later_one(relayed, identifier):
    refusal = b"HTTP/1.1 503 Busy\r\n%sServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
    connection = await relayed.connect()
    await read_response(connection)
    exchange = next(iter(relayed.relay.connections))._endpoint
    head = b"POST / HTTP/1.1\r\nX-Request-Id: r2\r\nContent-Length: 8\r\n\r\n"
    connection.send(head + b"half")
    await asyncio.sleep(0.1)
    exchange.data_received(refusal % identifier)
    relayed.rejects_for = 2.5
    connection._transport.write(b"half")
    await asyncio.sleep(0.1)

    assert [arrival.body for arrival in relayed.endpoint.arrivals[1:]] == [b"halfhalf"]
    assert relayed.statuses == [(200, None), (200, None)]


async def test_rejection_names_the_request_that_it_rejects(relayed):
    connection = await relayed.connect()
    relayed.rejects_for = 2.5
    connection.send(REQUEST, (b"x-request-id", b"r1"))

    head = await connection.read()
    assert find_header(head.headers, b"x-request-id") == b"r1"


# Bytes that are no response may come without end.
@pytest.mark.parametrize(
    "data",
    [
        b"\0" * 100,
        b"HTTP/1.1 200 OK\r\nX: " + b"y" * 200_000,
        CHUNKED_HEAD + b"0\r\nX: " + b"y" * 200_000,
        CHUNKED_HEAD + b"0\r\n" + b"X: y\r\n" * 40_000,
    ],
    ids=["no head", "endless head", "endless trailer", "trailers without end"],
)
async def test_bytes_that_are_no_response_are_relayed_and_not_kept(relayed, data):
    exchange = RelayedExchange(lambda head: None, find_identifier)
    exchange.read_request(REQUEST)
    exchange.feed(data)
    exchange.feed(b"z" * 1000)

    assert not exchange.is_between_requests
    assert exchange._response._headers == []
    relayed.endpoint.default_script = [data, "close"]
    connection = await relayed.connect()
    assert isinstance((await read_response(connection))[-1], ConnectionLost)


@pytest.fixture
async def odd_relay():
    """The port of a peer that sends the bytes which a test appends."""
    data = []

    async def serve(reader, writer):
        await reader.read(100)
        for piece in data:
            writer.write(piece)
            await asyncio.sleep(0.05)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1], data
    server.close()


async def test_unknown_status_of_a_peer_counts_as_no_links(odd_relay, caplog):
    port, data = odd_relay
    data.append(b"\x09")
    endpoint = ("127.0.0.1", 9)

    result = await connect_through_peer(("127.0.0.1", port), endpoint, 1.0)
    assert result is RelayStatus.NO_LINKS
    assert not caplog.records


# A peer that announced a frame of 4 GB had all of its bytes collected.
async def test_frame_that_is_too_long_ends_the_connection(odd_relay):
    port, data = odd_relay
    data += [b"\x00", b"\xff\xff\xff\xff" + b"x" * 1000, b"x" * 100_000]
    endpoint = ("127.0.0.1", 9)

    connection = await connect_through_peer(("127.0.0.1", port), endpoint, 1.0)
    assert isinstance((await read_response(connection))[-1], ConnectionLost)
    assert len(FrameReader().feed(data[1])) == 0


# A relay told its peer that a response was over, of which the endpoint had only sent a
# part: the peer can't see that the endpoint has not received the whole request.
@pytest.mark.parametrize(
    ("head", "end"),
    [(b"", ConnectionLost), (b"Content-Length: 4\r\n", ResponseEnd)],
    ids=["without length", "with length"],
)
async def test_relayed_response_that_ends_before_its_request_was_sent(
    relayed, head, end
):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n%s\r\npart" % head)
        await asyncio.sleep(0.05)
        writer.write_eof()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    relayed.is_endpoint = lambda target: True
    address = f"{relayed.network}.12"
    server = await asyncio.start_server(respond, address, PORT, limit=1024)
    connection = await relayed.connect(12)
    body = bytes(1 << 20)
    request = b"POST / HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: %d\r\n\r\n"
    connection.send(request % len(body) + body)
    # The peer reads the response after the endpoint has gone.
    await asyncio.sleep(0.3)
    events = [await connection.read()]
    while not isinstance(events[-1], ResponseEnd | ConnectionLost):
        events.append(await connection.read())
    server.close()

    assert isinstance(events[-1], end)
