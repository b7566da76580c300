"""An admitted request completes despite any reclaim with notice."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.callers import (
    stream_completion,
    stream_completion_with_resume,
    unique_prompt,
)
from tests.site import write_example_configuration

pytestmark = pytest.mark.invariant

TOKENS = 120
STREAMS = 12


@pytest.fixture
async def four_engine_site(site, tmp_path):
    """Three daemons, and four engines in two data centres."""
    for number in range(4):
        await site.start_engine(
            f"engine-{number}", f"dc-{number % 2}", token_seconds=0.02
        )
    for name in ("entry-1", "entry-2", "entry-3"):
        await site.start_daemon(name, wait_until_ready=False)
    submitted = await site.submit_sources(
        write_example_configuration(tmp_path / "config"), 0
    )
    assert submitted.returncode == 0, submitted.stderr
    for name in ("entry-1", "entry-2", "entry-3"):
        await site.wait_for_url(f"{site.url(name)}/ready")
        await site.wait_until(
            lambda name=name: lists_entire_site(site, name), f"{name} lists all hosts"
        )
    return site


async def lists_entire_site(site, name):
    state = await site.daemon_state(name)
    return len(state["endpoints_by_host"]) == 4 and len(state["members_by_host"]) == 3


async def undisturbed_texts(four_engine_site):
    """Return the texts of the streams without a disturbance."""
    answers = await asyncio.gather(
        *(
            stream_completion(four_engine_site, "entry-1", unique_prompt(n), TOKENS)
            for n in range(STREAMS)
        )
    )
    return [answer.text for answer in answers]


async def answers_under_disturbance(four_engine_site, disturb):
    """Run the same streams at two daemons while ``disturb`` runs."""
    streams = [
        asyncio.create_task(
            stream_completion(
                four_engine_site, f"entry-{1 + n % 2}", unique_prompt(n), TOKENS
            )
        )
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    await disturb()
    return await asyncio.gather(*streams)


async def count_moves(four_engine_site):
    totals = {"streams.moved": 0, "streams.kv_moved": 0}
    for name in ("entry-1", "entry-2"):
        counters = (await four_engine_site.daemon_state(name))["counters_by_name"]
        for counter in totals:
            totals[counter] += counters.get(counter, 0)
    return totals


async def kill_after(four_engine_site, names, seconds):
    await asyncio.sleep(seconds)
    for name in names:
        four_engine_site.processes_by_name[name].deliver_signal(signal.SIGKILL)


def assert_complete(answers, texts):
    assert [answer.problem for answer in answers] == [None] * STREAMS
    assert [answer.text for answer in answers] == texts
    assert all(answer.is_complete for answer in answers)


async def test_data_centre_is_reclaimed_with_seconds_of_notice(four_engine_site):
    texts = await undisturbed_texts(four_engine_site)
    reclaimed = ["engine-0", "engine-2"]

    async def disturb():
        await four_engine_site.announce_reclaim(reclaimed, seconds=2.0)
        await kill_after(four_engine_site, reclaimed, 2.0)

    answers = await answers_under_disturbance(four_engine_site, disturb)
    assert_complete(answers, texts)
    moved = await count_moves(four_engine_site)
    assert moved["streams.kv_moved"] > 0


async def test_source_crashes_before_its_streams_have_moved(four_engine_site):
    texts = await undisturbed_texts(four_engine_site)

    async def disturb():
        await four_engine_site.announce_reclaim(["engine-0", "engine-2"], seconds=2.0)
        await kill_after(four_engine_site, ["engine-0", "engine-2"], 0.3)

    assert_complete(await answers_under_disturbance(four_engine_site, disturb), texts)


async def test_target_is_reclaimed_as_well(four_engine_site):
    texts = await undisturbed_texts(four_engine_site)

    async def disturb():
        await four_engine_site.announce_reclaim(["engine-0", "engine-2"], seconds=1.5)
        await asyncio.sleep(0.7)
        await four_engine_site.announce_reclaim(["engine-1"], seconds=1.5)
        await kill_after(four_engine_site, ["engine-0", "engine-2", "engine-1"], 1.5)

    assert_complete(await answers_under_disturbance(four_engine_site, disturb), texts)


async def test_engines_that_reject_cache_exports(four_engine_site):
    texts = await undisturbed_texts(four_engine_site)
    for number in range(4):
        await four_engine_site.set_faults(
            four_engine_site.url(f"engine-{number}"), refuse_kv=True
        )

    async def disturb():
        await four_engine_site.announce_reclaim(["engine-0", "engine-2"], seconds=2.0)
        await kill_after(four_engine_site, ["engine-0", "engine-2"], 2.0)

    assert_complete(await answers_under_disturbance(four_engine_site, disturb), texts)


async def test_simultaneous_reclaims_quarantine_nothing(four_engine_site):
    async def disturb():
        await four_engine_site.announce_reclaim(["engine-0", "engine-2"], seconds=1.0)
        await kill_after(four_engine_site, ["engine-0", "engine-2"], 0.2)

    await answers_under_disturbance(four_engine_site, disturb)
    for name in ("entry-1", "entry-2"):
        assert (await four_engine_site.daemon_state(name))["quarantined"] == []


async def count_generated_tokens(four_engine_site):
    """Count the tokens that all engines generated."""
    logs = [
        await four_engine_site.get_json(f"{four_engine_site.url(f'engine-{n}')}/log")
        for n in range(4)
    ]
    return sum(run["emitted"] for log in logs for run in log["runs"])


async def test_callers_resume_streams_of_a_reclaimed_entry_host_elsewhere(
    four_engine_site,
):
    texts = await undisturbed_texts(four_engine_site)
    before = await count_generated_tokens(four_engine_site)
    daemons = ["entry-1", "entry-2", "entry-3"]
    streams = [
        asyncio.create_task(
            stream_completion_with_resume(
                four_engine_site, daemons, unique_prompt(n), TOKENS, f"key-{n}"
            )
        )
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.3)
    await four_engine_site.announce_reclaim(["entry-1"], seconds=2.5)
    await kill_after(four_engine_site, ["entry-1"], 2.5)
    answers = await asyncio.gather(*streams)
    assert_complete(answers, texts)
    expected_ids = list(range(1, TOKENS + 1))
    assert all(answer.event_ids == expected_ids for answer in answers)
    assert any(len(answer.daemons) > 1 for answer in answers)
    # Received tokens are not generated again, with a slack of 10 for each stream.
    assert await count_generated_tokens(four_engine_site) - before < STREAMS * (
        TOKENS + 10
    )
