"""A request that crashes each endpoint that runs it is stopped; others are served."""

from __future__ import annotations

import asyncio

import pytest

from tests.callers import stream_completion, unique_prompt

pytestmark = pytest.mark.invariant

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
INNOCENTS = 8


@pytest.fixture
async def fleet(configured_site):
    """The configured site and two more engines; all crash on the same prompt."""
    await configured_site.start_engine("engine-3")
    await configured_site.start_engine("engine-4", "dc-2")
    for name in ("entry-1", "entry-2"):
        await configured_site.wait_until(
            lambda name=name: sees_all(configured_site, name), "six endpoints"
        )
    return configured_site


async def sees_all(site, name):
    return len((await site.daemon_state(name))["endpoints_by_host"]) == 6


async def crashing(fleet):
    for name in ENGINES:
        await fleet.set_faults(fleet.url(name), crash_on="poison")


async def poisoned_runs(fleet):
    """Count the runs that ended with a crash before their first token."""
    logs = [await fleet.get_json(f"{fleet.url(name)}/log") for name in ENGINES]
    return sum(
        run["ended"] == "lost" and run["computed"] + run["cached"] == 3
        for log in logs
        for run in log["runs"]
    )


async def test_quarantined_on_all_daemons_after_the_second_crash(fleet):
    texts = [
        (await stream_completion(fleet, "entry-1", unique_prompt(n), 100)).text
        for n in range(INNOCENTS)
    ]
    await crashing(fleet)
    innocents = [
        asyncio.create_task(
            stream_completion(fleet, f"entry-{1 + n % 2}", unique_prompt(n), 100)
        )
        for n in range(INNOCENTS)
    ]
    await asyncio.sleep(0.2)
    poisoned = await stream_completion(fleet, "entry-1", "a poison prompt", 20)
    assert poisoned.problem["type"].endswith(":quarantined")
    assert poisoned.problem["outcome"] == "failed"
    assert poisoned.retry_after is None
    answers = await asyncio.gather(*innocents)
    assert [answer.problem for answer in answers] == [None] * INNOCENTS
    assert [answer.text for answer in answers] == texts
    assert await poisoned_runs(fleet) == 2
    await fleet.wait_until(lambda: quarantined(fleet, "entry-2"), "entry-2 knows")
    again = await stream_completion(fleet, "entry-2", "a poison prompt", 20)
    assert again.problem["type"].endswith(":quarantined")
    assert await poisoned_runs(fleet) == 2


async def quarantined(fleet, name):
    return (await fleet.daemon_state(name))["quarantined"]
