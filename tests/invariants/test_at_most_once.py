"""A non-idempotent request runs at most once per idempotency key."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.history import History, send_filing, send_filings_at_random

pytestmark = pytest.mark.invariant

DAEMONS = ["entry-1", "entry-2"]
SERVICES = ["service-1", "service-2"]


async def collect_and_check(configured_site, history):
    await configured_site.set_faults(
        configured_site.key_value_url, down=False, refuse_connections=False
    )
    await history.collect_runs(configured_site, SERVICES)
    assert history.violations() == []
    return history


async def set_services(configured_site, **faults):
    for name in SERVICES:
        await configured_site.set_faults(configured_site.url(name), **faults)


@pytest.mark.parametrize("seed", [1, 2])
async def test_concurrent_repeats_at_two_daemons_run_once(configured_site, seed):
    history = await send_filings_at_random(
        configured_site, DAEMONS, keys=60, callers=12, seed=seed
    )
    await collect_and_check(configured_site, history)
    assert len(history.runs_by_key) == 60


@pytest.mark.parametrize("seed", [3, 4])
async def test_lost_answers_and_late_writes_of_the_key_value_service(
    configured_site, seed
):
    await configured_site.set_faults(
        configured_site.key_value_url, lose_answers=15, late_writes=15
    )
    history = await send_filings_at_random(
        configured_site, DAEMONS, keys=60, callers=12, seed=seed
    )
    await collect_and_check(configured_site, history)
    assert len(history.runs_by_key) == 60


@pytest.mark.parametrize("seed", [5])
async def test_repeated_outages_of_the_key_value_service(configured_site, seed):
    async def cause_outages():
        for down in (True, False, True, False):
            await asyncio.sleep(0.4)
            await configured_site.set_faults(configured_site.key_value_url, down=down)

    history, _ = await asyncio.gather(
        send_filings_at_random(
            configured_site, DAEMONS, keys=150, callers=12, seed=seed
        ),
        cause_outages(),
    )
    await collect_and_check(configured_site, history)
    assert history.count_outcome("not run") > 0
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
async def test_daemon_killed_before_or_after_the_run(configured_site, faults):
    await set_services(configured_site, **faults)
    history = History()
    first = [
        asyncio.create_task(
            send_filing(configured_site, history, "entry-1", f"key-{number}")
        )
        for number in range(30)
    ]
    await asyncio.sleep(0.15)
    configured_site.processes_by_name["entry-1"].deliver_signal(signal.SIGKILL)
    await asyncio.gather(*first)
    await set_services(configured_site, delay_seconds=0, delay_after_seconds=0)
    for number in range(30):
        await send_filing(configured_site, history, "entry-2", f"key-{number}")
    await collect_and_check(configured_site, history)


async def test_paused_daemon_does_not_run_a_claim_a_second_time(configured_site):
    await configured_site.set_faults(configured_site.key_value_url, delay_seconds=0.2)
    history = History()
    process = configured_site.processes_by_name["entry-1"]
    paused = [
        asyncio.create_task(
            send_filing(configured_site, history, "entry-1", f"key-{number}")
        )
        for number in range(10)
    ]
    await asyncio.sleep(0.3)
    process.deliver_signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    await configured_site.set_faults(configured_site.key_value_url, delay_seconds=0.0)
    await asyncio.gather(
        *(
            send_filing(configured_site, history, "entry-2", f"key-{n}")
            for n in range(10)
        )
    )
    process.deliver_signal(signal.SIGCONT)
    await asyncio.gather(*paused)
    await collect_and_check(configured_site, history)


async def test_same_key_with_another_body_is_rejected(configured_site):
    history = History()
    await send_filing(configured_site, history, "entry-1", "key", body="one")
    other = await send_filing(configured_site, history, "entry-2", "key", body="two")
    assert (other.status, other.outcome) == (422, "not run")
    await collect_and_check(configured_site, history)


async def test_connection_lost_after_the_run_is_not_retried_by_any_layer(
    configured_site,
):
    await set_services(configured_site, crash_after=100)
    history = History()
    for number in range(5):
        lost = await send_filing(
            configured_site, history, "entry-1", f"key-{number}", method="PUT"
        )
        assert lost.outcome == "outcome unknown"
    await collect_and_check(configured_site, history)
    assert len(history.runs_by_key) == 5


async def test_repeated_key_gets_the_recorded_large_answer(configured_site):
    history = History()
    body = "x" * 50_000
    first = await send_filing(configured_site, history, "entry-1", "key", body=body)
    await configured_site.wait_until(
        lambda: all_outcomes_recorded(configured_site), "the outcome is recorded"
    )
    again = await send_filing(configured_site, history, "entry-2", "key", body=body)
    assert again.run == first.run is not None
    await collect_and_check(configured_site, history)


async def all_outcomes_recorded(configured_site):
    counters = (await configured_site.daemon_state("entry-1"))[
        "claims_by_shard"
    ].values()
    values = await configured_site.get_json(f"{configured_site.key_value_url}/dump")
    is_stored = any("/answers/" in key for key in values)
    return is_stored and not any(shard["outcomes_to_record"] for shard in counters)
