"""A request that crashes endpoints is quarantined; other requests are served."""

from __future__ import annotations

import asyncio

import pytest

from tests.callers import stream_completion, unique_prompt

pytestmark = pytest.mark.invariant

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
UNAFFECTED = 8


@pytest.fixture
async def four_engine_site(configured_site):
    """The configured site with two more engines."""
    await configured_site.start_engine("engine-3")
    await configured_site.start_engine("engine-4", "dc-2")
    for name in ("entry-1", "entry-2"):
        await configured_site.wait_until(
            lambda name=name: lists_all_endpoints(configured_site, name),
            "the daemon lists six endpoints",
        )
    return configured_site


async def lists_all_endpoints(site, name):
    return len((await site.daemon_state(name))["endpoints_by_host"]) == 6


async def set_crash_fault(four_engine_site):
    for name in ENGINES:
        await four_engine_site.set_faults(four_engine_site.url(name), crash_on="poison")


async def count_crashed_runs(four_engine_site):
    """Count the runs that ended with a crash before their first token."""
    logs = [
        await four_engine_site.get_json(f"{four_engine_site.url(name)}/log")
        for name in ENGINES
    ]
    return sum(
        run["ended"] == "lost" and run["computed"] + run["cached"] == 3
        for log in logs
        for run in log["runs"]
    )


async def test_request_is_quarantined_at_all_daemons_after_its_second_crash(
    four_engine_site,
):
    texts = [
        (
            await stream_completion(four_engine_site, "entry-1", unique_prompt(n), 100)
        ).text
        for n in range(UNAFFECTED)
    ]
    await set_crash_fault(four_engine_site)
    unaffected = [
        asyncio.create_task(
            stream_completion(
                four_engine_site, f"entry-{1 + n % 2}", unique_prompt(n), 100
            )
        )
        for n in range(UNAFFECTED)
    ]
    await asyncio.sleep(0.2)
    crash_answer = await stream_completion(
        four_engine_site, "entry-1", "a poison prompt", 20
    )
    assert crash_answer.problem["type"].endswith(":quarantined")
    assert crash_answer.problem["outcome"] == "failed"
    assert crash_answer.retry_after is None
    answers = await asyncio.gather(*unaffected)
    assert [answer.problem for answer in answers] == [None] * UNAFFECTED
    assert [answer.text for answer in answers] == texts
    assert await count_crashed_runs(four_engine_site) == 2
    await four_engine_site.wait_until(
        lambda: has_quarantined(four_engine_site, "entry-2"),
        "entry-2 has quarantined the request",
    )
    again = await stream_completion(four_engine_site, "entry-2", "a poison prompt", 20)
    assert again.problem["type"].endswith(":quarantined")
    assert await count_crashed_runs(four_engine_site) == 2


async def has_quarantined(four_engine_site, name):
    return (await four_engine_site.daemon_state(name))["quarantined"]
