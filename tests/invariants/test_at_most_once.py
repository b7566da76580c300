"""A non-idempotent request runs at most once per idempotency key."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.history import History, file_once, file_randomly

pytestmark = pytest.mark.invariant

DAEMONS = ["entry-1", "entry-2"]
SERVICES = ["service-1", "service-2"]


async def collect_and_check(pair, history):
    await pair.faults(pair.key_value_url, down=False, refuse_connections=False)
    await history.collect(pair, SERVICES)
    assert history.findings() == []
    return history


async def set_services(pair, **faults):
    for name in SERVICES:
        await pair.faults(pair.url(name), **faults)


@pytest.mark.parametrize("seed", [1, 2])
async def test_concurrent_repeats_at_two_daemons_run_once(pair, seed):
    history = await file_randomly(pair, DAEMONS, keys=60, callers=12, seed=seed)
    await collect_and_check(pair, history)
    assert len(history.runs_by_key) == 60


@pytest.mark.parametrize("seed", [3, 4])
async def test_lost_answers_and_late_writes_of_the_key_value_service(pair, seed):
    await pair.faults(pair.key_value_url, lose_answers=15, late_writes=15)
    history = await file_randomly(pair, DAEMONS, keys=60, callers=12, seed=seed)
    await collect_and_check(pair, history)
    assert len(history.runs_by_key) == 60


@pytest.mark.parametrize("seed", [5])
async def test_repeated_outages_of_the_key_value_service(pair, seed):
    async def cause_outages():
        for down in (True, False, True, False):
            await asyncio.sleep(0.4)
            await pair.faults(pair.key_value_url, down=down)

    history, _ = await asyncio.gather(
        file_randomly(pair, DAEMONS, keys=150, callers=12, seed=seed), cause_outages()
    )
    await collect_and_check(pair, history)
    assert history.count("not run") > 0
    assert history.runs_by_key


@pytest.mark.parametrize(
    "faults",
    [
        {"delay_seconds": 0.5},
        {"delay_after_seconds": 0.5},
        {"crash_before": 30, "delay_seconds": 0.05},
        {"crash_after": 30, "delay_after_seconds": 0.05},
    ],
    ids=["before-run", "after-run", "lost-before-run", "lost-after-run"],
)
async def test_daemon_killed_before_or_after_the_run(pair, faults):
    await set_services(pair, **faults)
    history = History()
    first = [
        asyncio.create_task(file_once(pair, history, "entry-1", f"key-{number}"))
        for number in range(30)
    ]
    await asyncio.sleep(0.15)
    pair.processes_by_name["entry-1"].send(signal.SIGKILL)
    await asyncio.gather(*first)
    await set_services(pair, delay_seconds=0, delay_after_seconds=0)
    for number in range(30):
        await file_once(pair, history, "entry-2", f"key-{number}")
    await collect_and_check(pair, history)


async def test_paused_daemon_does_not_run_a_claim_a_second_time(pair):
    await pair.faults(pair.key_value_url, delay_seconds=0.2)
    history = History()
    process = pair.processes_by_name["entry-1"]
    paused = [
        asyncio.create_task(file_once(pair, history, "entry-1", f"key-{number}"))
        for number in range(10)
    ]
    await asyncio.sleep(0.3)
    process.send(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    await pair.faults(pair.key_value_url, delay_seconds=0.0)
    await asyncio.gather(
        *(file_once(pair, history, "entry-2", f"key-{n}") for n in range(10))
    )
    process.send(signal.SIGCONT)
    await asyncio.gather(*paused)
    await collect_and_check(pair, history)


async def test_same_key_with_another_body_is_rejected(pair):
    history = History()
    await file_once(pair, history, "entry-1", "key", body="one")
    other = await file_once(pair, history, "entry-2", "key", body="two")
    assert (other.status, other.outcome) == (422, "not run")
    await collect_and_check(pair, history)


async def test_connection_lost_after_the_run_is_not_retried_by_any_layer(pair):
    await set_services(pair, crash_after=100)
    history = History()
    for number in range(5):
        lost = await file_once(pair, history, "entry-1", f"key-{number}", method="PUT")
        assert lost.outcome == "outcome unknown"
    await collect_and_check(pair, history)
    assert len(history.runs_by_key) == 5


async def test_repeated_key_gets_the_recorded_large_answer(pair):
    history = History()
    body = "x" * 50_000
    first = await file_once(pair, history, "entry-1", "key", body=body)
    await pair.until(lambda: all_outcomes_recorded(pair), "the outcome is recorded")
    again = await file_once(pair, history, "entry-2", "key", body=body)
    assert again.run == first.run is not None
    await collect_and_check(pair, history)


async def all_outcomes_recorded(pair):
    counters = (await pair.state("entry-1"))["claims_by_shard"].values()
    values = await pair.get(f"{pair.key_value_url}/dump")
    is_stored = any("/answers/" in key for key in values)
    return is_stored and not any(shard["outcomes_to_record"] for shard in counters)
