"""Orders to model engines by a duty holder whose lease expires."""

from __future__ import annotations

import asyncio
import signal

import pytest
import yaml

from tests.site import example_sources

pytestmark = pytest.mark.invariant

DAEMONS = ("entry-1", "entry-2")
LEASE_EXPIRY_SECONDS = 6.5


async def orders(pair, name):
    return (await pair.get(f"{pair.url(name)}/log"))["orders"]


async def is_version_ordered(pair, version, names=("engine-1", "engine-2")):
    wanted = [(await pair.get(f"{pair.url(n)}/orders"))["wanted"] for n in names]
    return all(item and item["version"] == version for item in wanted)


async def submit_version(pair, tmp_path, version, based_on):
    folder = example_sources(tmp_path / f"version-{version}")
    base = yaml.safe_load((folder / "base.yaml").read_text())
    base["deployments"]["drafting"]["version"] = version
    (folder / "base.yaml").write_text(yaml.safe_dump(base))
    submitted = await pair.submit(folder, based_on)
    assert submitted.returncode == 0, submitted.stderr


async def duty_holder(pair):
    sent = [
        (await pair.state(name))["counters_by_name"].get("orders.sent", 0)
        for name in DAEMONS
    ]
    return DAEMONS[sent.index(max(sent))] if max(sent) else None


async def test_resumed_holder_sends_no_outdated_order(pair, tmp_path):
    await pair.until(lambda: is_version_ordered(pair, "1"), "version 1 is ordered")
    paused = await pair.until(lambda: duty_holder(pair), "a daemon has sent orders")
    pair.processes_by_name[paused].send(signal.SIGSTOP)
    await submit_version(pair, tmp_path, "2", based_on=1)
    await pair.until(
        lambda: is_version_ordered(pair, "2"), "the other daemon orders version 2"
    )
    pair.processes_by_name[paused].send(signal.SIGCONT)
    await asyncio.sleep(2.5)
    for name in ("engine-1", "engine-2"):
        received = await orders(pair, name)
        assert [order["wanted"]["version"] for order in received] == ["1", "2"]
        tokens = [order["fencing_token"] for order in received]
        assert tokens == sorted(set(tokens))


async def test_late_order_of_a_former_holder(pair):
    """An engine that checks fencing tokens rejects it; else the order is corrected."""
    await pair.start_engine("engine-3", checks_fencing_token=True)
    names = ("engine-1", "engine-2", "engine-3")
    await pair.until(
        lambda: is_version_ordered(pair, "1", names), "version 1 is ordered"
    )
    late = {"wanted": {"model": "draft-small", "version": "0"}, "fencing_token": 1}
    statuses = {}
    for name in ("engine-1", "engine-3"):
        async with pair.session.post(f"{pair.url(name)}/orders", json=late) as reply:
            statuses[name] = reply.status
    assert statuses == {"engine-1": 200, "engine-3": 409}
    await pair.until(
        lambda: is_version_ordered(pair, "1", names), "version 1 is ordered again"
    )


async def test_no_orders_after_the_lease_expires_in_an_outage(pair):
    await pair.until(lambda: is_version_ordered(pair, "1"), "version 1 is ordered")
    await pair.faults(pair.key_value_url, down=True)
    await asyncio.sleep(LEASE_EXPIRY_SECONDS)
    before = await orders(pair, "engine-1")
    late = {"wanted": {"model": "draft-small", "version": "0"}, "fencing_token": 1}
    async with pair.session.post(f"{pair.url('engine-1')}/orders", json=late) as reply:
        assert reply.status == 200
    await asyncio.sleep(2.0)
    assert len(await orders(pair, "engine-1")) == len(before) + 1
    await pair.faults(pair.key_value_url, down=False)
    await pair.until(
        lambda: is_version_ordered(pair, "1"), "version 1 is ordered again"
    )
