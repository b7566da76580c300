"""A request that crashes each endpoint that runs it is stopped; others are served."""

from __future__ import annotations

import asyncio

import pytest

from tests.callers import complete, prompt

pytestmark = pytest.mark.invariant

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
INNOCENTS = 8


@pytest.fixture
async def fleet(pair):
    """The pair and two more engines; all crash on the same prompt."""
    await pair.start_engine("engine-3")
    await pair.start_engine("engine-4", "dc-2")
    for name in ("entry-1", "entry-2"):
        await pair.until(lambda name=name: sees_all(pair, name), "six endpoints")
    return pair


async def sees_all(site, name):
    return len((await site.state(name))["endpoints_by_host"]) == 6


async def crashing(fleet):
    for name in ENGINES:
        await fleet.faults(fleet.url(name), crash_on="poison")


async def poisoned_runs(fleet):
    """Count the runs that ended with a crash before their first token."""
    logs = [await fleet.get(f"{fleet.url(name)}/log") for name in ENGINES]
    return sum(
        run["ended"] == "lost" and run["computed"] + run["cached"] == 3
        for log in logs
        for run in log["runs"]
    )


async def test_quarantined_on_all_daemons_after_the_second_crash(fleet):
    texts = [
        (await complete(fleet, "entry-1", prompt(n), 100)).text
        for n in range(INNOCENTS)
    ]
    await crashing(fleet)
    innocents = [
        asyncio.create_task(complete(fleet, f"entry-{1 + n % 2}", prompt(n), 100))
        for n in range(INNOCENTS)
    ]
    await asyncio.sleep(0.2)
    poisoned = await complete(fleet, "entry-1", "a poison prompt", 20)
    assert poisoned.problem["type"].endswith(":quarantined")
    assert poisoned.problem["outcome"] == "failed"
    assert poisoned.retry_after is None
    answers = await asyncio.gather(*innocents)
    assert [answer.problem for answer in answers] == [None] * INNOCENTS
    assert [answer.text for answer in answers] == texts
    assert await poisoned_runs(fleet) == 2
    await fleet.until(lambda: quarantined(fleet, "entry-2"), "entry-2 knows")
    again = await complete(fleet, "entry-2", "a poison prompt", 20)
    assert again.problem["type"].endswith(":quarantined")
    assert await poisoned_runs(fleet) == 2


async def quarantined(fleet, name):
    return (await fleet.state(name))["quarantined"]
