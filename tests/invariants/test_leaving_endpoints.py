"""A leaving endpoint receives no new requests after a few seconds."""

from __future__ import annotations

import asyncio
import time

import pytest

from tests.callers import AUTHORIZATION

pytestmark = pytest.mark.invariant

DRAIN_LIMIT_SECONDS = 3.0
DAEMONS = ("entry-1", "entry-2")


async def send_lookups(configured_site, seconds):
    """Send idempotent lookups through both daemons for ``seconds``."""
    deadline = time.monotonic() + seconds

    async def caller(name):
        number = 0
        while time.monotonic() < deadline:
            number += 1
            url = f"{configured_site.url(name)}/services/filings/status/{name}-{number}"
            async with configured_site.session.get(
                url, headers=AUTHORIZATION
            ) as response:
                assert response.status == 201
            await asyncio.sleep(0.01)

    await asyncio.gather(*(caller(name) for name in DAEMONS for _ in range(3)))


async def last_run_at(configured_site, name):
    return max(
        run["at"]
        for run in await configured_site.get_json(f"{configured_site.url(name)}/log")
    )


async def test_no_requests_after_a_notice_with_an_outdated_host_list(configured_site):
    await configured_site.set_faults(configured_site.cloud_url, lag_seconds=60.0)
    load = asyncio.create_task(send_lookups(configured_site, 6.0))
    await asyncio.sleep(0.5)
    noticed_at = time.time()
    await configured_site.announce_reclaim(["service-1"], seconds=30.0)
    await load
    assert (
        await last_run_at(configured_site, "service-1")
        < noticed_at + DRAIN_LIMIT_SECONDS
    )
    assert (
        await last_run_at(configured_site, "service-2")
        > noticed_at + DRAIN_LIMIT_SECONDS
    )


async def test_notice_reaches_a_daemon_without_the_host_list(configured_site):
    """After one daemon reads the notice, the list and the service are unavailable."""
    load = asyncio.create_task(send_lookups(configured_site, 6.0))
    await asyncio.sleep(0.5)
    noticed_at = time.time()
    await configured_site.announce_reclaim(["service-1"], seconds=30.0)
    await configured_site.wait_until(
        lambda: is_leaving_at_any_daemon(configured_site),
        "a daemon has read the notice",
    )
    await configured_site.set_faults(configured_site.cloud_url, down=True)
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    await load
    assert (
        await last_run_at(configured_site, "service-1")
        < noticed_at + DRAIN_LIMIT_SECONDS
    )
    states = [await configured_site.daemon_state(name) for name in DAEMONS]
    assert {s["endpoints_by_host"]["service-1"]["state"] for s in states} == {"leaving"}


async def is_leaving_at_any_daemon(configured_site):
    states = [await configured_site.daemon_state(name) for name in DAEMONS]
    return any(
        state["endpoints_by_host"]["service-1"]["state"] == "leaving"
        for state in states
    )


async def test_host_list_older_than_every_host_removes_none(configured_site):
    await configured_site.set_faults(configured_site.cloud_url, lag_seconds=3600.0)
    await send_lookups(configured_site, 3.0)


async def test_outdated_host_list_does_not_restore_a_removed_endpoint(configured_site):
    old_hosts = list(configured_site.hosts)
    await configured_site.announce_reclaim(["service-1"], seconds=1.0)
    await configured_site.wait_until(
        lambda: is_leaving_at_any_daemon(configured_site),
        "a daemon has read the notice",
    )
    configured_site.hosts = [
        host for host in configured_site.hosts if host["host"] != "service-1"
    ]
    await configured_site.publish_hosts()
    await configured_site.wait_until(
        lambda: is_gone_at_all_daemons(configured_site), "service-1 is gone everywhere"
    )
    configured_site.hosts = old_hosts
    await configured_site.publish_hosts()
    gone_at = time.time()
    await send_lookups(configured_site, 2.5)
    assert await last_run_at(configured_site, "service-2") > gone_at
    assert not [
        run
        for run in await configured_site.get_json(
            f"http://{address_of(configured_site, 'service-1')}:9100/log"
        )
        if run["at"] > gone_at
    ]


def address_of(configured_site, name):
    return configured_site.processes_by_name[name].address


async def is_gone_at_all_daemons(configured_site):
    states = [await configured_site.daemon_state(name) for name in DAEMONS]
    return all(
        state["endpoints_by_host"]["service-1"]["state"] == "gone" for state in states
    )
