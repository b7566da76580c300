"""Streams go on only at endpoints of the software version that began them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from tests.entry.entry_site import API_KEY, CALLER_PORT, ENDPOINT_PORT
from tests.standins.versioned_endpoint import (
    EVENT_COUNT,
    VersionedEndpoint,
    event_ids,
    versions_of,
)

STREAMS = 16


async def add_endpoint(site, endpoint_id, number, version, **changes):
    endpoint = VersionedEndpoint(endpoint_id, version=version, **changes)
    address = f"{site.network}.{number}"
    server = await endpoint.start(address, ENDPOINT_PORT)

    async def close():
        server.close()

    site._cleanups.append(close)
    site.endpoints[endpoint_id] = endpoint
    put_entry(site, endpoint_id, number, version)
    return endpoint


def put_entry(site, endpoint_id, number, version, **changes):
    address = f"{site.network}.{number}"
    site.put_endpoint_entry(
        endpoint_id, address, "plain-app", version=version, slots=50, **changes
    )


async def add_two_versions(site, **changes):
    for number, version in enumerate(("v1", "v1", "v2", "v2")):
        await add_endpoint(site, f"e{number}", 11 + number, version, **changes)


async def start_hosts(site, count, **options):
    addresses = [
        site.start_daemon(f"host-{n}", 21 + n, **options) for n in range(count)
    ]
    for address in addresses:
        await site.wait_ready(address)
    await asyncio.sleep(1.0)
    return addresses


@dataclass(frozen=True)
class Part:
    """What a caller received of a stream in one try."""

    status: int
    body: bytes
    has_retry_after: bool

    @property
    def versions(self):
        return versions_of(self.body)

    @property
    def event_ids(self):
        return event_ids(self.body)


async def request_stream(address, request_id, headers=""):
    """Request a stream, and read until its end or the loss of its connection."""
    reader, writer = await asyncio.open_connection(address, CALLER_PORT)
    writer.write(
        f"GET /stream/x HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {request_id}\r\n"
        f"X-Deadline-Ms: 4000\r\nAuthorization: Bearer {API_KEY}\r\n{headers}"
        "Connection: close\r\n\r\n".encode()
    )
    data = b""
    try:
        async with asyncio.timeout(10):
            while chunk := await reader.read(65536):
                data += chunk
    except ConnectionError:
        pass
    finally:
        writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return Part(int(head.split()[1]), body, b"retry-after" in head.lower())


async def resume_stream(address, request_id, last_event, resumed_id):
    headers = f"Last-Event-Id: {last_event}\r\n"
    if resumed_id is not None:
        headers += f"Resumes: {resumed_id}\r\n"
    return await request_stream(address, request_id, headers)


# A host resumed a cut stream at an engine of another software version.
async def test_cut_stream_goes_on_at_the_same_version_within_one_response(site):
    await add_two_versions(site, cut_after=3)
    (address,) = await start_hosts(site, 1)
    parts = await asyncio.gather(
        *(request_stream(address, f"r{n}") for n in range(STREAMS))
    )

    assert sum(len(part.event_ids) > 3 for part in parts) >= STREAMS / 2
    assert [part for part in parts if len(part.versions) > 1] == []


# A client that took its stream up at another host got events of another version.
async def test_stream_of_a_killed_host_goes_on_at_the_same_version(site):
    await add_two_versions(site, event_seconds=0.15)
    addresses = await start_hosts(site, 4)
    begun = [
        asyncio.create_task(request_stream(addresses[0], f"first-{n}"))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.6)
    site.processes["host-0"].kill()
    first_parts = await asyncio.gather(*begun)
    rests = await asyncio.gather(
        *(
            resume_stream(
                addresses[1 + n % 3], f"next-{n}", part.event_ids[-1], f"first-{n}"
            )
            for n, part in enumerate(first_parts)
        )
    )

    pairs = list(zip(first_parts, rests, strict=True))
    assert {len(part.versions | rest.versions) for part, rest in pairs} == {1}
    assert len({v for part in first_parts for v in part.versions}) == 2
    assert {rest.status for rest in rests} == {200}
    assert {rest.event_ids[-1] for rest in rests} == {EVENT_COUNT}


# A stream that was taken up twice went on at another version the second time.
async def test_stream_is_taken_up_repeatedly_by_its_first_request(site):
    await add_two_versions(site, cut_after=2)
    for endpoint in site.endpoints.values():
        endpoint.event_seconds = 0.01
    addresses = await start_hosts(site, 3, repeat_ratio=0, repeat_slack=0)
    for n in range(STREAMS):
        part = await request_stream(addresses[0], f"first-{n}")
        versions = part.versions
        for step in (1, 2):
            part = await resume_stream(
                addresses[(n + step) % 3],
                f"next-{n}-{step}",
                part.event_ids[-1],
                f"first-{n}",
            )
            assert part.status == 200
            versions |= part.versions
        assert part.event_ids[-1] == 6
        assert len(versions) == 1


# A stream of unknown origin was guessed to have begun at any version.
@pytest.mark.parametrize("resumed_id", ["unknown", None])
async def test_stream_of_unknown_origin_is_refused_among_two_versions(site, resumed_id):
    await add_two_versions(site)
    addresses = await start_hosts(site, 2)
    part = await resume_stream(addresses[0], "next", 2, resumed_id)

    assert (part.status, part.has_retry_after) == (503, True)
    assert site.arrivals == []


async def test_stream_of_unknown_origin_goes_on_if_there_was_one_version_only(site):
    await add_endpoint(site, "e1", 11, "v1")
    addresses = await start_hosts(site, 2, is_first_start=True)
    part = await resume_stream(addresses[0], "next", 2, "unknown")

    assert (part.status, part.event_ids[-1]) == (200, EVENT_COUNT)


# A version that was served until a moment ago may have begun a stream.
async def test_stream_of_unknown_origin_is_refused_after_a_release(site):
    await add_endpoint(site, "e1", 11, "v1")
    addresses = await start_hosts(site, 2, is_first_start=True)
    await add_endpoint(site, "e2", 12, "v2")
    put_entry(site, "e1", 11, "v1", state="draining")
    await asyncio.sleep(1.5)
    site.store.delete("servers/e1")
    await asyncio.sleep(1.5)
    part = await resume_stream(addresses[0], "next", 2, "unknown")

    assert part.status == 503


async def test_stream_whose_version_no_longer_serves_is_refused_at_once(site):
    await add_two_versions(site, cut_after=2)
    addresses = await start_hosts(site, 2, repeat_ratio=0, repeat_slack=0)
    begun = await request_stream(addresses[0], "first")
    (version,) = begun.versions
    for n, known in enumerate(("v1", "v1", "v2", "v2")):
        if known == version:
            put_entry(site, f"e{n}", 11 + n, known, state="draining")
    await asyncio.sleep(1.5)
    part = await resume_stream(addresses[1], "next", begun.event_ids[-1], "first")

    assert part.status == 503
    assert len(site.arrivals) == 1


# Two thirds of the hosts, or all but one data centre, are lost at the same moment.
async def test_most_streams_go_on_after_the_loss_of_several_hosts(site):
    await add_two_versions(site, event_seconds=0.2)
    addresses = await start_hosts(site, 6)
    begun = [
        asyncio.create_task(request_stream(addresses[n % 6], f"first-{n}"))
        for n in range(4 * STREAMS)
    ]
    await asyncio.sleep(0.8)
    for number in range(4):
        site.processes[f"host-{number}"].kill()
    await asyncio.sleep(0.1)
    lost = [n for n in range(4 * STREAMS) if n % 6 < 4]
    parts = {n: await begun[n] for n in lost}
    rests = await asyncio.gather(
        *(
            resume_stream(
                addresses[4 + n % 2], f"next-{n}", part.event_ids[-1], f"first-{n}"
            )
            for n, part in parts.items()
        )
    )

    for part, rest in zip(parts.values(), rests, strict=True):
        assert len(part.versions | rest.versions) == 1
    assert sum(rest.status == 200 for rest in rests) >= len(lost) / 2


async def restart_all(site, count):
    """Kill all hosts at once, and start them again."""
    for number in range(count):
        site.processes[f"host-{number}"].kill()
    for number in range(count):
        await asyncio.to_thread(site.processes[f"host-{number}"].wait)
    addresses = [site.start_daemon(f"host-{n}", 21 + n) for n in range(count)]
    for address in addresses:
        await site.wait_ready(address)
    await asyncio.sleep(1.5)
    return addresses


async def test_last_host_takes_up_streams_of_which_it_was_not_told(site):
    """Origins are sent to some hosts only; the others find them in the store."""
    await add_two_versions(site, event_seconds=0.3)
    addresses = await start_hosts(site, 6)
    begun = [
        asyncio.create_task(request_stream(addresses[0], f"first-{n}"))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(1.2)
    for number in range(5):
        site.processes[f"host-{number}"].kill()
    first_parts = await asyncio.gather(*begun)
    rests = await asyncio.gather(
        *(
            resume_stream(addresses[5], f"next-{n}", part.event_ids[-1], f"first-{n}")
            for n, part in enumerate(first_parts)
        )
    )

    pairs = list(zip(first_parts, rests, strict=True))
    assert [rest.status for rest in rests].count(200) >= STREAMS - 1
    assert not [part for part, rest in pairs if len(part.versions | rest.versions) > 1]


# All hosts lost power, and no stream that a client took up afterwards went on.
async def test_most_streams_go_on_after_the_loss_of_all_hosts(site):
    await add_two_versions(site, event_seconds=0.3)
    addresses = await start_hosts(site, 4, is_first_start=True)
    begun = [
        asyncio.create_task(request_stream(addresses[n % 4], f"first-{n}"))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(1.2)
    addresses = await restart_all(site, 4)
    parts = await asyncio.gather(*begun)
    rests = await asyncio.gather(
        *(
            resume_stream(
                addresses[n % 4], f"next-{n}", part.event_ids[-1], f"first-{n}"
            )
            for n, part in enumerate(parts)
        )
    )

    pairs = list(zip(parts, rests, strict=True))
    assert {len(part.versions | rest.versions) for part, rest in pairs} == {1}
    assert sum(rest.status == 200 for rest in rests) >= STREAMS / 2


# After a restart of all hosts none knew that there had been one version only.
async def test_stream_of_unknown_origin_goes_on_after_the_loss_of_all_hosts(site):
    await add_endpoint(site, "e1", 11, "v1")
    await start_hosts(site, 3, is_first_start=True)
    await asyncio.sleep(2.5)
    addresses = await restart_all(site, 3)
    parts = [
        await resume_stream(address, f"next-{n}", 2, None)
        for n, address in enumerate(addresses)
    ]

    assert {part.status for part in parts} == {200}


# A version that left while all hosts were down was forgotten with them.
async def test_version_before_the_loss_of_all_hosts_is_not_forgotten(site):
    await add_endpoint(site, "e1", 11, "v1")
    await start_hosts(site, 3, is_first_start=True)
    await asyncio.sleep(2.5)
    await add_endpoint(site, "e2", 12, "v2")
    site.store.delete("servers/e1")
    addresses = await restart_all(site, 3)
    part = await resume_stream(addresses[0], "next", 2, "unknown")

    assert part.status == 503
