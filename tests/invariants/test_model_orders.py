"""Orders to model engines by a duty holder whose lease expires."""

from __future__ import annotations

import asyncio
import signal

import pytest
import yaml

from tests.site import write_example_configuration

pytestmark = pytest.mark.invariant

DAEMONS = ("entry-1", "entry-2")
LEASE_EXPIRY_SECONDS = 6.5


async def orders(configured_site, name):
    return (await configured_site.get_json(f"{configured_site.url(name)}/log"))[
        "orders"
    ]


async def is_version_ordered(configured_site, version, names=("engine-1", "engine-2")):
    wanted = [
        (await configured_site.get_json(f"{configured_site.url(n)}/orders"))["wanted"]
        for n in names
    ]
    return all(item and item["version"] == version for item in wanted)


async def submit_version(configured_site, tmp_path, version, based_on):
    folder = write_example_configuration(tmp_path / f"version-{version}")
    base = yaml.safe_load((folder / "base.yaml").read_text())
    base["deployments"]["drafting"]["version"] = version
    (folder / "base.yaml").write_text(yaml.safe_dump(base))
    submitted = await configured_site.submit_sources(folder, based_on)
    assert submitted.returncode == 0, submitted.stderr


async def duty_holder(configured_site):
    sent = [
        (await configured_site.daemon_state(name))["counters_by_name"].get(
            "orders.sent", 0
        )
        for name in DAEMONS
    ]
    return DAEMONS[sent.index(max(sent))] if max(sent) else None


async def test_resumed_holder_sends_no_outdated_order(configured_site, tmp_path):
    await configured_site.wait_until(
        lambda: is_version_ordered(configured_site, "1"), "version 1 is ordered"
    )
    paused = await configured_site.wait_until(
        lambda: duty_holder(configured_site), "a daemon has sent orders"
    )
    configured_site.processes_by_name[paused].deliver_signal(signal.SIGSTOP)
    await submit_version(configured_site, tmp_path, "2", based_on=1)
    await configured_site.wait_until(
        lambda: is_version_ordered(configured_site, "2"),
        "the other daemon orders version 2",
    )
    configured_site.processes_by_name[paused].deliver_signal(signal.SIGCONT)
    await asyncio.sleep(2.5)
    for name in ("engine-1", "engine-2"):
        received = await orders(configured_site, name)
        assert [order["wanted"]["version"] for order in received] == ["1", "2"]
        tokens = [order["fencing_token"] for order in received]
        assert tokens == sorted(set(tokens))


async def test_late_order_of_a_former_holder(configured_site):
    """An engine that checks fencing tokens rejects it; else the order is corrected."""
    await configured_site.start_engine("engine-3", checks_fencing_token=True)
    names = ("engine-1", "engine-2", "engine-3")
    await configured_site.wait_until(
        lambda: is_version_ordered(configured_site, "1", names), "version 1 is ordered"
    )
    late = {"wanted": {"model": "draft-small", "version": "0"}, "fencing_token": 1}
    statuses = {}
    for name in ("engine-1", "engine-3"):
        async with configured_site.session.post(
            f"{configured_site.url(name)}/orders", json=late
        ) as reply:
            statuses[name] = reply.status
    assert statuses == {"engine-1": 200, "engine-3": 409}
    await configured_site.wait_until(
        lambda: is_version_ordered(configured_site, "1", names),
        "version 1 is ordered again",
    )


async def test_no_orders_after_the_lease_expires_in_an_outage(configured_site):
    await configured_site.wait_until(
        lambda: is_version_ordered(configured_site, "1"), "version 1 is ordered"
    )
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    await asyncio.sleep(LEASE_EXPIRY_SECONDS)
    before = await orders(configured_site, "engine-1")
    late = {"wanted": {"model": "draft-small", "version": "0"}, "fencing_token": 1}
    async with configured_site.session.post(
        f"{configured_site.url('engine-1')}/orders", json=late
    ) as reply:
        assert reply.status == 200
    await asyncio.sleep(2.0)
    assert len(await orders(configured_site, "engine-1")) == len(before) + 1
    await configured_site.set_faults(configured_site.key_value_url, down=False)
    await configured_site.wait_until(
        lambda: is_version_ordered(configured_site, "1"), "version 1 is ordered again"
    )
