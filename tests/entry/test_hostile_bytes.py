"""Spoiled bytes at both HTTP sides of a daemon harm no other request."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random

from tests.entry.entry_site import API_KEY, CALLER_PORT
from tests.standins.wire_endpoint import event, plain, stream

SEED = 41
CASES = 60
HONEST_EVERY_SECONDS = 0.02
# A third of the memory of the smallest host (page on the grown deployments).
MAX_RESIDENT_KB = 200 * 1024 // 3
HEAD = (
    f"POST /plain/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: h1\r\n"
    f"X-Deadline-Ms: 300\r\nAuthorization: Bearer {API_KEY}\r\n"
).encode()
REQUESTS = [
    HEAD + b"Content-Length: 5\r\n\r\nhello",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / ",
    HEAD + b"Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello",
    HEAD + b"Content-Length: 99999999\r\n\r\nhello",
    HEAD + b"Transfer-Encoding: chunked\r\n\r\nfffffffff\r\nhello",
    HEAD + b"X-Long: " + b"a" * 9000 + b"\r\n\r\n",
    HEAD + b"X-Prefix-Hash: zz:-1,::,9:9:9\r\nX-Token-Count: 1,,2\r\n\r\n",
]
ANSWERS = [
    plain()[0],
    plain(status=500)[0],
    b"".join(stream(event(1), event(2))),
    plain()[0] + plain(b"another answer")[0],
    plain()[0].replace(b"Content-Length: 5", b"Content-Length: 99999999"),
    plain()[0].replace(b"Content-Length: 5", b"Content-Length: -5"),
    plain(extra=b"X-Long: " + b"a" * 40_000 + b"\r\n")[0],
]


def spoiled(random: Random, data: bytes) -> bytes:
    """Return ``data`` cut, doubled, with a byte changed, or with others put in."""
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
    """Send bytes as a client would, whole or a few at a time, and read a little."""
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


async def ask_honestly(site, address: str, until: asyncio.Event) -> list:
    """Ask until told to stop; return the answers that are not what was asked for."""
    wrong = []
    number = 0
    while not until.is_set():
        number += 1
        request_id = f"honest-{number}"
        answer = await site.send_request(address, "/plain/honest", request_id)
        is_own = answer.headers.get("x-request-id") == request_id
        if not (answer.status == 200 and answer.body == b"whole" and is_own):
            wrong.append((request_id, answer))
        await asyncio.sleep(HONEST_EVERY_SECONDS)
    return wrong


async def check_beside(site, address: str, hostile) -> None:
    """Play ``hostile`` beside honest requests; the daemon and they are unharmed."""
    over = asyncio.Event()
    asking = asyncio.create_task(ask_honestly(site, address, over))
    await hostile
    over.set()

    assert await asking == []
    assert site.processes["host-1"].poll() is None
    assert "Traceback" not in site.read_log("host-1")
    assert resident_kb(site.processes["host-1"].pid) < MAX_RESIDENT_KB


def resident_kb(pid: int) -> int:
    """Return the most memory that a process has had."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(li.split()[1]) for li in lines if li.startswith("VmHWM:"))


async def test_spoiled_requests(site, daemon_address):
    random = Random(SEED)
    samples = [spoiled(random, random.choice(REQUESTS)) for _ in range(CASES)]
    samples += REQUESTS
    sends = [
        send(daemon_address, data, in_pieces=random.random() < 0.3) for data in samples
    ]

    await check_beside(site, daemon_address, asyncio.gather(*sends))


async def test_spoiled_answers(site, daemon_address):
    random = Random(SEED)
    answers = [spoiled(random, random.choice(ANSWERS)) for _ in range(CASES)]
    answers += ANSWERS
    for endpoint in site.endpoints.values():
        for number, answer in enumerate(answers):
            endpoint.scripts_by_path[f"/plain/{number}"] = [answer, 0.1, "close"]

    async def ask_all() -> None:
        for number in range(len(answers)):
            answer = await site.send_request(
                daemon_address, f"/plain/{number}", f"hostile-{number}"
            )
            if 200 <= answer.status < 300 and answer.is_complete:
                assert answer.headers["x-server-stamp"] == "s1"
                assert answer.headers["x-request-id"] == f"hostile-{number}"

    await check_beside(site, daemon_address, ask_all())


async def test_answers_without_an_end(site, daemon_address):
    """Heads and bodies that never end are given up, not held in memory."""
    piece = b"a" * 1_000_000
    head = plain()[0].split(b"Content-Length")[0]
    endless = {
        "/plain/head": [head + b"X-Long: ", *[piece] * 60],
        "/plain/body": [head + b"Connection: close\r\n\r\n", *[piece] * 60],
    }
    for endpoint in site.endpoints.values():
        endpoint.scripts_by_path.update(endless)

    async def ask_all() -> None:
        answers = [
            await site.send_request(daemon_address, path, f"r{path}")
            for path in endless
        ]
        assert [answer.status for answer in answers] == [502, 502]

    await check_beside(site, daemon_address, ask_all())
