"""Malformed bytes from callers and endpoints do not affect other requests."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

import pytest

from tests.entry.entry_site import API_KEY, CALLER_PORT
from tests.standins.scripted_endpoint import (
    plain_response,
    sse_event,
    stream_response,
    unframed_stream,
)

SEED = 41
CASES = 60
VALID_REQUEST_INTERVAL_SECONDS = 0.02
# A third of the memory of the smallest host, which has 200 MiB.
MAX_RESIDENT_KB = 200 * 1024 // 3
# Of one response: 32 MiB.
ENDLESS_PART_BYTES, ENDLESS_PARTS = 1 << 20, 32
REQUEST_HEAD = (
    f"POST /plain/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: h1\r\n"
    f"X-Deadline-Ms: 300\r\nAuthorization: Bearer {API_KEY}\r\n"
).encode()
REQUESTS = [
    REQUEST_HEAD + b"Content-Length: 5\r\n\r\nhello",
    REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    REQUEST_HEAD
    + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / ",
    REQUEST_HEAD + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello",
    REQUEST_HEAD + b"Content-Length: 99999999\r\n\r\nhello",
    REQUEST_HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffff\r\nhello",
    REQUEST_HEAD + b"X-Long: " + b"a" * 9000 + b"\r\n\r\n",
    REQUEST_HEAD + b"X-Prefix-Hash: zz:-1,::,9:9:9\r\nX-Token-Count: 1,,2\r\n\r\n",
]
RESPONSES = [
    plain_response()[0],
    plain_response(status=500)[0],
    b"".join(stream_response(sse_event(1), sse_event(2))),
    plain_response()[0] + plain_response(b"another answer")[0],
    plain_response()[0].replace(b"Content-Length: 5", b"Content-Length: 99999999"),
    plain_response()[0].replace(b"Content-Length: 5", b"Content-Length: -5"),
    plain_response(extra_headers=b"X-Long: " + b"a" * 40_000 + b"\r\n")[0],
]


def corrupted(random: Random, data: bytes) -> bytes:
    """Return ``data`` truncated, doubled, with bytes changed or inserted, or as is."""
    at = random.randrange(len(data))
    match random.randrange(5):
        case 0:
            return data[:at]
        case 1:
            return data + data
        case 2:
            return data[:at] + bytes([random.randrange(256)]) + data[at + 1 :]
        case 3:
            return data[:at] + random.randbytes(random.randrange(1, 400)) + data[at:]
        case _:
            return data


async def send(address: str, data: bytes, *, in_pieces: bool) -> None:
    """Send bytes at once or a few at a time, and read the start of the response."""
    reader, writer = await asyncio.open_connection(address, CALLER_PORT)
    try:
        size = 7 if in_pieces else len(data)
        for start in range(0, min(len(data), 40 * size), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(0.01 if in_pieces else 0)
        await asyncio.wait_for(reader.read(65536), 0.5)
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()


async def send_valid_requests(site, address: str, stop: asyncio.Event) -> list:
    """Send valid requests until ``stop`` is set; return all unexpected responses."""
    unexpected_responses = []
    number = 0
    while not stop.is_set():
        number += 1
        request_id = f"valid-{number}"
        response = await site.send_request(address, "/plain/valid", request_id)
        is_own = response.headers.get("x-request-id") == request_id
        if not (response.status == 200 and response.body == b"whole" and is_own):
            unexpected_responses.append((request_id, response))
        await asyncio.sleep(VALID_REQUEST_INTERVAL_SECONDS)
    return unexpected_responses


async def check_valid_requests_during(site, address: str, malformed_traffic) -> None:
    """Check valid requests and the daemon while ``malformed_traffic`` runs."""
    is_done = asyncio.Event()
    valid_requests = asyncio.create_task(send_valid_requests(site, address, is_done))
    await malformed_traffic
    is_done.set()

    assert await valid_requests == []
    assert site.processes["host-1"].poll() is None
    assert "Traceback" not in site.read_log("host-1")
    assert resident_kb(site.processes["host-1"].pid) < MAX_RESIDENT_KB


def resident_kb(pid: int) -> int:
    """Return the peak resident memory of a process."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(li.split()[1]) for li in lines if li.startswith("VmHWM:"))


async def test_malformed_requests_do_not_affect_others(site, daemon_address):
    random = Random(SEED)
    samples = [corrupted(random, random.choice(REQUESTS)) for _ in range(CASES)]
    samples += REQUESTS
    sends = [
        send(daemon_address, data, in_pieces=random.random() < 0.3) for data in samples
    ]

    await check_valid_requests_during(site, daemon_address, asyncio.gather(*sends))


async def test_malformed_responses_do_not_affect_others(site, daemon_address):
    random = Random(SEED)
    responses = [corrupted(random, random.choice(RESPONSES)) for _ in range(CASES)]
    responses += RESPONSES
    for endpoint in site.endpoints.values():
        for number, response in enumerate(responses):
            endpoint.scripts_by_path[f"/plain/{number}"] = [response, 0.1, "close"]

    async def send_all() -> None:
        for number in range(len(responses)):
            response = await site.send_request(
                daemon_address, f"/plain/{number}", f"malformed-{number}"
            )
            if 200 <= response.status < 300 and response.is_complete:
                assert response.headers["x-server-stamp"] == "s1"
                assert response.headers["x-request-id"] == f"malformed-{number}"

    await check_valid_requests_during(site, daemon_address, send_all())


async def test_endless_responses_are_aborted(site, daemon_address):
    """Endless heads, bodies and events are aborted rather than held in memory."""
    piece = b"a" * 1_000_000
    head = plain_response()[0].split(b"Content-Length")[0]
    endless = {
        "/plain/head": [head + b"X-Long: ", *[piece] * 60],
        "/plain/body": [head + b"Connection: close\r\n\r\n", *[piece] * 60],
        "/draft/event": [*unframed_stream(b"data: ")[:-1], *[piece] * 60],
    }
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path.update(endless)

    async def send_all() -> None:
        responses = [
            await site.send_request(daemon_address, path, f"r{path}")
            for path in endless
        ]
        assert [response.status for response in responses] == [502, 502, 502]

    await check_valid_requests_during(site, daemon_address, send_all())


# A caller got 500, or a status that HTTP does not have, from a faulty endpoint.
@pytest.mark.parametrize("status", [0, 99, 600, 999])
async def test_response_with_an_unknown_status_is_tried_again_or_502(
    site, daemon_address, status
):
    script = [b"HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nno" % status]
    endpoint = site.endpoints["e1"]
    endpoint.scripts_by_path = {"/plain/x": script, "/once/x": script}
    site.endpoints["e2"].scripts_by_path = {"/once/x": script}
    answers = [
        await site.send_request(daemon_address, path, f"r{number}", method="POST")
        for number, path in enumerate(["/plain/x", "/once/x"] * 6)
    ]

    assert endpoint.arrivals
    assert [a.status for a in answers] == [200, 502] * 6


# A host kept all trailers of a response, and was killed for its memory with the
# requests of all its callers.
@pytest.mark.parametrize("line", [b"X-Trailer: 1\r\n", b"x"], ids=["fields", "line"])
async def test_trailers_without_end_take_no_memory(site, daemon_address, line):
    head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    part = line * (ENDLESS_PART_BYTES // len(line))
    script = [head + b"4\r\nbody\r\n0\r\n", *[part] * ENDLESS_PARTS]
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path = {"/plain/endless": script}
    sends = [
        site.send_request(daemon_address, "/plain/endless", f"r{number}")
        for number in range(6)
    ]
    answers = await asyncio.gather(*sends)
    other = await site.send_request(daemon_address, "/plain/x", "r9")

    assert [answer.status for answer in answers] == [502] * 6
    assert other.status == 200
    assert resident_kb(site.processes["host-1"].pid) < MAX_RESIDENT_KB
