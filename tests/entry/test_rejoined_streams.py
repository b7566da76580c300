"""Streams that are taken up after a release and the loss of all hosts at once."""

from __future__ import annotations

import asyncio

import pytest

from tests.entry.test_stream_versions import (
    STREAMS,
    add_endpoint,
    put_entry,
    request_stream,
    resume_stream,
    start_hosts,
)

HOSTS = 3
EVENT_SECONDS = 0.25
# Callers whose connection was refused try again after a moment.
RETRY_SECONDS = 0.05
RETRIES = 100


async def release(site, old_leaves):
    """List endpoints of a second version, and let those of the first one leave."""
    for number in (2, 3):
        await add_endpoint(
            site, f"e{number}", 11 + number, "v2", event_seconds=EVENT_SECONDS
        )
    if old_leaves == "before":
        for number in (0, 1):
            put_entry(site, f"e{number}", 11 + number, "v1", state="draining")


def unlist_old(site):
    for number in (0, 1):
        site.store.delete(f"servers/e{number}")


async def kill_and_start_all(site, old_leaves):
    for number in range(HOSTS):
        site.processes[f"host-{number}"].kill()
    for number in range(HOSTS):
        await asyncio.to_thread(site.processes[f"host-{number}"].wait)
    if old_leaves != "never":
        unlist_old(site)
    return [site.start_daemon(f"host-{n}", 21 + n) for n in range(HOSTS)]


async def take_up(addresses, number, part):
    """Take a stream up like a caller that tries until a host answers at all."""
    for attempt in range(RETRIES):
        try:
            return await resume_stream(
                addresses[(number + attempt) % HOSTS],
                f"next-{number}-{attempt}",
                part.event_ids[-1] if part.event_ids else 0,
                f"first-{number}",
            )
        except (OSError, IndexError):
            await asyncio.sleep(RETRY_SECONDS)
    raise AssertionError("no host answered")


# A system like this one joined streams of two versions after the loss of all hosts.
@pytest.mark.parametrize("old_leaves", ["never", "before", "while down"])
@pytest.mark.parametrize("seconds", [0.1, 0.7, 1.6, 2.4])
async def test_streams_of_two_versions_are_not_joined_after_the_loss_of_all_hosts(
    site, seconds, old_leaves
):
    for number in (0, 1):
        await add_endpoint(
            site, f"e{number}", 11 + number, "v1", event_seconds=EVENT_SECONDS
        )
    addresses = await start_hosts(site, HOSTS, is_first_start=True)
    await asyncio.sleep(1.0)
    begun = [
        asyncio.create_task(request_stream(addresses[n % HOSTS], f"first-{n}"))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.3)
    await release(site, old_leaves)
    late = STREAMS // 2
    steps = [asyncio.sleep(seconds * n / late) for n in range(late)]
    for number, step in enumerate(steps, STREAMS):
        before = asyncio.create_task(step)
        begun.append(
            asyncio.create_task(
                _begin(before, addresses[number % HOSTS], f"first-{number}")
            )
        )
    await asyncio.sleep(seconds)
    addresses = await kill_and_start_all(site, old_leaves)
    parts = await asyncio.gather(*begun, return_exceptions=True)
    known = [(n, p) for n, p in enumerate(parts) if not isinstance(p, Exception)]
    rests = await asyncio.gather(*(take_up(addresses, n, part) for n, part in known))

    assert known
    joined = [
        (n, part.versions, rest.versions)
        for (n, part), rest in zip(known, rests, strict=True)
        if len(part.versions | rest.versions) > 1
    ]
    assert joined == []


async def wait_for_record(site):
    """Wait until a host has stored which versions it sees."""
    revisions = {item.revision for item in records(site)}
    async with asyncio.timeout(5):
        while {item.revision for item in records(site)} <= revisions:
            await asyncio.sleep(0.01)


def records(site):
    return [i for k, i in site.store.items.items() if "streams/" in k]


# A version that had come and gone since the last record may have begun a stream.
async def test_version_that_was_listed_for_a_second_is_not_forgotten(site):
    await add_endpoint(site, "e0", 11, "v1", event_seconds=EVENT_SECONDS)
    addresses = await start_hosts(site, HOSTS, is_first_start=True)
    await wait_for_record(site)
    await add_endpoint(site, "e2", 13, "v2", event_seconds=EVENT_SECONDS)
    await asyncio.sleep(1.2)
    for number in range(HOSTS):
        site.processes[f"host-{number}"].kill()
        await asyncio.to_thread(site.processes[f"host-{number}"].wait)
    site.store.delete("servers/e2")
    addresses = [site.start_daemon(f"host-{n}", 21 + n) for n in range(HOSTS)]
    for address in addresses:
        await site.wait_ready(address)
    await asyncio.sleep(1.0)
    rests = [
        await resume_stream(address, f"next-{address}", 2, "first")
        for address in addresses
    ]

    assert [rest.status for rest in rests] == [503] * HOSTS


async def _begin(before, address, request_id):
    await before
    return await request_stream(address, request_id)
