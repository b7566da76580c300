"""A request that may not be repeated runs at most once."""

from __future__ import annotations

import asyncio
import signal

import pytest

from tests.history import History, send_filing, send_filings_at_random

pytestmark = pytest.mark.invariant

DAEMONS = ["entry-1", "entry-2"]
SERVICES = ["service-1", "service-2"]


async def checked(configured_site, history):
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
async def test_concurrent_repeats_at_both_daemons(configured_site, seed):
    history = await send_filings_at_random(
        configured_site, DAEMONS, keys=60, callers=12, seed=seed
    )
    await checked(configured_site, history)
    assert len(history.runs_by_key) == 60


@pytest.mark.parametrize("seed", [3, 4])
async def test_writes_whose_answers_are_lost_or_land_late(configured_site, seed):
    await configured_site.set_faults(
        configured_site.key_value_url, lose_answers=15, late_writes=15
    )
    history = await send_filings_at_random(
        configured_site, DAEMONS, keys=60, callers=12, seed=seed
    )
    await checked(configured_site, history)
    assert len(history.runs_by_key) == 60


@pytest.mark.parametrize("seed", [5])
async def test_service_of_the_platform_goes_down_and_comes_back(configured_site, seed):
    async def fail_and_mend():
        for down in (True, False, True, False):
            await asyncio.sleep(0.4)
            await configured_site.set_faults(configured_site.key_value_url, down=down)

    history, _ = await asyncio.gather(
        send_filings_at_random(
            configured_site, DAEMONS, keys=150, callers=12, seed=seed
        ),
        fail_and_mend(),
    )
    await checked(configured_site, history)
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
async def test_daemon_is_killed_around_the_run(configured_site, faults):
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
    await checked(configured_site, history)


async def test_daemon_frozen_with_a_claim_does_not_run_it_beside_another(
    configured_site,
):
    await configured_site.set_faults(configured_site.key_value_url, delay_seconds=0.2)
    history = History()
    process = configured_site.processes_by_name["entry-1"]
    frozen = [
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
    await asyncio.gather(*frozen)
    await checked(configured_site, history)


async def test_same_key_with_another_body_is_refused(configured_site):
    history = History()
    await send_filing(configured_site, history, "entry-1", "key", body="one")
    other = await send_filing(configured_site, history, "entry-2", "key", body="two")
    assert (other.status, other.outcome) == (422, "not run")
    await checked(configured_site, history)


async def test_connection_lost_after_the_run_is_not_sent_again_by_any_layer(
    configured_site,
):
    await set_services(configured_site, crash_after=100)
    history = History()
    for number in range(5):
        lost = await send_filing(
            configured_site, history, "entry-1", f"key-{number}", method="PUT"
        )
        assert lost.outcome == "outcome unknown"
    await checked(configured_site, history)
    assert len(history.runs_by_key) == 5


async def test_large_answer_is_replayed(configured_site):
    history = History()
    body = "x" * 50_000
    first = await send_filing(configured_site, history, "entry-1", "key", body=body)
    await configured_site.wait_until(
        lambda: recorded(configured_site), "the outcome is recorded"
    )
    again = await send_filing(configured_site, history, "entry-2", "key", body=body)
    assert again.run == first.run is not None
    await checked(configured_site, history)


async def recorded(configured_site):
    counters = (await configured_site.daemon_state("entry-1"))[
        "claims_by_shard"
    ].values()
    values = await configured_site.get_json(f"{configured_site.key_value_url}/dump")
    is_stored = any("/answers/" in key for key in values)
    return is_stored and not any(shard["outcomes_to_record"] for shard in counters)
