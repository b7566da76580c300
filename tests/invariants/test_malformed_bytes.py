"""Malformed bytes at any port of a daemon do not disrupt it."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tests.callers import stream_completion, unique_prompt

pytestmark = pytest.mark.invariant

PORTS = (8080, 8081, 8082)
SAMPLES = (
    b"",
    b"\x00" * 64,
    b"\xff" * 4096,
    b"GET / HTTP/1.1\r\n\r\n",
    b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n{",
    b"\x00\x00\x00\x00\xff\xff\xff\x7f" + b"\x01" * 64,
)


async def send(address, port, data):
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(data)
        await writer.drain()
        await asyncio.wait_for(reader.read(65536), 0.2)
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()


async def test_daemon_serves_after_malformed_bytes_at_every_port(configured_site):
    random = Random(7)
    address = configured_site.processes_by_name["entry-1"].address
    samples = [
        *SAMPLES,
        *(random.randbytes(random.randint(1, 2000)) for _ in range(30)),
    ]
    for port in PORTS:
        await asyncio.gather(*(send(address, port, data) for data in samples))
    assert configured_site.processes_by_name["entry-1"].popen.poll() is None
    answer = await stream_completion(configured_site, "entry-1", unique_prompt(1), 5)
    assert answer.is_complete
    state = await configured_site.daemon_state("entry-1")
    assert state["state"] == "ready"
    assert state["members_by_host"]["entry-2"]["status"] == "alive"
