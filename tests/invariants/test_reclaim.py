"""An accepted request survives any announced reclaim."""

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
async def fleet(site, tmp_path):
    """Two daemons before four engines in two data centres."""
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
        await site.wait_until(lambda name=name: knows(site, name), f"{name} knows all")
    return site


async def knows(site, name):
    state = await site.daemon_state(name)
    return len(state["endpoints_by_host"]) == 4 and len(state["members_by_host"]) == 3


async def undisturbed(fleet):
    """Return the texts that an undisturbed run gives."""
    answers = await asyncio.gather(
        *(
            stream_completion(fleet, "entry-1", unique_prompt(n), TOKENS)
            for n in range(STREAMS)
        )
    )
    return [answer.text for answer in answers]


async def disturbed(fleet, disturb):
    """Run the same streams at two daemons while ``disturb`` runs."""
    streams = [
        asyncio.create_task(
            stream_completion(fleet, f"entry-{1 + n % 2}", unique_prompt(n), TOKENS)
        )
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    await disturb()
    return await asyncio.gather(*streams)


async def moves(fleet):
    totals = {"streams.moved": 0, "streams.kv_moved": 0}
    for name in ("entry-1", "entry-2"):
        counters = (await fleet.daemon_state(name))["counters_by_name"]
        for counter in totals:
            totals[counter] += counters.get(counter, 0)
    return totals


async def kill_after(fleet, names, seconds):
    await asyncio.sleep(seconds)
    for name in names:
        fleet.processes_by_name[name].deliver_signal(signal.SIGKILL)


def assert_whole(answers, texts):
    assert [answer.problem for answer in answers] == [None] * STREAMS
    assert [answer.text for answer in answers] == texts
    assert all(answer.is_complete for answer in answers)


async def test_wave_takes_a_data_centre_with_seconds_of_notice(fleet):
    texts = await undisturbed(fleet)
    wave = ["engine-0", "engine-2"]

    async def disturb():
        await fleet.announce_reclaim(wave, seconds=2.0)
        await kill_after(fleet, wave, 2.0)

    answers = await disturbed(fleet, disturb)
    assert_whole(answers, texts)
    moved = await moves(fleet)
    assert moved["streams.kv_moved"] > 0


async def test_source_dies_before_its_streams_have_moved(fleet):
    texts = await undisturbed(fleet)

    async def disturb():
        await fleet.announce_reclaim(["engine-0", "engine-2"], seconds=2.0)
        await kill_after(fleet, ["engine-0", "engine-2"], 0.3)

    assert_whole(await disturbed(fleet, disturb), texts)


async def test_target_is_reclaimed_too(fleet):
    texts = await undisturbed(fleet)

    async def disturb():
        await fleet.announce_reclaim(["engine-0", "engine-2"], seconds=1.5)
        await asyncio.sleep(0.7)
        await fleet.announce_reclaim(["engine-1"], seconds=1.5)
        await kill_after(fleet, ["engine-0", "engine-2", "engine-1"], 1.5)

    assert_whole(await disturbed(fleet, disturb), texts)


async def test_engines_that_refuse_to_export(fleet):
    texts = await undisturbed(fleet)
    for number in range(4):
        await fleet.set_faults(fleet.url(f"engine-{number}"), refuse_kv=True)

    async def disturb():
        await fleet.announce_reclaim(["engine-0", "engine-2"], seconds=2.0)
        await kill_after(fleet, ["engine-0", "engine-2"], 2.0)

    assert_whole(await disturbed(fleet, disturb), texts)


async def test_reclaim_wave_quarantines_nothing(fleet):
    async def disturb():
        await fleet.announce_reclaim(["engine-0", "engine-2"], seconds=1.0)
        await kill_after(fleet, ["engine-0", "engine-2"], 0.2)

    await disturbed(fleet, disturb)
    for name in ("entry-1", "entry-2"):
        assert (await fleet.daemon_state(name))["quarantined"] == []


async def generated(fleet):
    """Count the tokens that all engines generated."""
    logs = [await fleet.get_json(f"{fleet.url(f'engine-{n}')}/log") for n in range(4)]
    return sum(run["emitted"] for log in logs for run in log["runs"])


async def test_entry_host_is_reclaimed_and_callers_get_the_rest_elsewhere(fleet):
    texts = await undisturbed(fleet)
    before = await generated(fleet)
    daemons = ["entry-1", "entry-2", "entry-3"]
    streams = [
        asyncio.create_task(
            stream_completion_with_resume(
                fleet, daemons, unique_prompt(n), TOKENS, f"key-{n}"
            )
        )
        for n in range(STREAMS)
    ]
    await asyncio.sleep(0.3)
    await fleet.announce_reclaim(["entry-1"], seconds=2.5)
    await kill_after(fleet, ["entry-1"], 2.5)
    answers = await asyncio.gather(*streams)
    assert_whole(answers, texts)
    expected_ids = list(range(1, TOKENS + 1))
    assert all(answer.event_ids == expected_ids for answer in answers)
    assert any(len(answer.daemons) > 1 for answer in answers)
    # What callers already had is not generated again: a few tokens of slack each.
    assert await generated(fleet) - before < STREAMS * (TOKENS + 10)
