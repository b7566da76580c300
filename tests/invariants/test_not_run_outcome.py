"""The outcome "not run" is reported only for requests that did not run."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from tests.callers import AUTHORIZATION, complete, prompt
from tests.history import History, file_once
from tests.site import example_sources

pytestmark = pytest.mark.invariant

SERVICES = ["service-1", "service-2"]


async def collect_and_check(pair, history):
    await history.collect(pair, [n for n in SERVICES if is_running(pair, n)])
    assert history.findings() == []
    return history


def is_running(pair, name):
    return pair.processes_by_name[name].popen.poll() is None


async def kill(pair, names):
    for name in names:
        pair.processes_by_name[name].send(signal.SIGKILL)
        await asyncio.to_thread(pair.processes_by_name[name].wait)


async def test_request_over_quota_is_not_run(pair, tmp_path):
    sources = example_sources(tmp_path / "next")
    base = (sources / "base.yaml").read_text().replace("second: 2000", "second: 4")
    (sources / "base.yaml").write_text(base)
    assert (await pair.submit(sources, 1)).returncode == 0
    await pair.until(lambda: all_at_revision(pair, 2), "revision 2 is in force")
    history = History()
    await asyncio.gather(
        *(file_once(pair, history, "entry-1", f"key-{n}") for n in range(20))
    )
    await collect_and_check(pair, history)
    assert history.count("not run") == 20 - len(history.runs_by_key) > 10


async def all_at_revision(pair, revision):
    states = [await pair.state(name) for name in ("entry-1", "entry-2")]
    return all(state["configuration"]["revision"] == revision for state in states)


async def test_request_in_an_outage_is_rejected_immediately(pair):
    await pair.faults(pair.key_value_url, down=True)
    history = History()
    started_at = time.monotonic()
    attempts = [await file_once(pair, history, "entry-1", f"key-{n}") for n in range(5)]
    assert time.monotonic() - started_at < 5.0
    assert [attempt.outcome for attempt in attempts] == ["not run"] * 5
    await collect_and_check(pair, history)
    assert history.runs_by_key == {}


async def test_unresponsive_key_value_service_times_out(pair):
    await pair.faults(pair.key_value_url, delay_seconds=30.0)
    history = History()
    attempt = await file_once(pair, history, "entry-1", "key")
    assert attempt.outcome == "not run"
    await pair.faults(pair.key_value_url, delay_seconds=0.0)
    await asyncio.sleep(1.5)
    await collect_and_check(pair, history)
    assert history.runs_by_key == {}


async def test_key_is_reusable_after_every_endpoint_refused_the_connection(pair):
    await kill(pair, SERVICES)
    history = History()
    refused = await file_once(pair, history, "entry-1", "key")
    assert refused.outcome == "not run"
    await pair.start_service("service-3")
    await pair.until(lambda: all_daemons_list(pair, "service-3"), "service-3 is listed")
    later = await file_once(pair, history, "entry-2", "key")
    assert later.status == 201


async def all_daemons_list(pair, name):
    states = [await pair.state(entry) for entry in ("entry-1", "entry-2")]
    return all(name in state["endpoints_by_host"] for state in states)


async def test_key_is_reusable_after_a_late_claim_of_a_rejected_request(pair):
    history = History()
    await pair.faults(
        pair.key_value_url, late_writes=1, late_seconds=1.0, delay_seconds=0.3
    )
    filing = asyncio.create_task(file_once(pair, history, "entry-1", "key"))
    await asyncio.sleep(0.75)
    await pair.faults(pair.key_value_url, down=True, delay_seconds=0.0)
    refused = await filing
    assert refused.outcome == "not run"
    await asyncio.sleep(1.2)
    await pair.faults(pair.key_value_url, down=False)
    await asyncio.sleep(1.5)
    later = await file_once(pair, history, "entry-2", "key")
    assert later.status == 201
    await collect_and_check(pair, history)


@pytest.mark.parametrize("fault", ["crash_before", "crash_after"])
async def test_outcome_is_unknown_after_a_connection_loss(pair, fault):
    for name in SERVICES:
        await pair.faults(pair.url(name), **{fault: 10})
    history = History()
    lost = await file_once(pair, history, "entry-1", "key")
    again = await file_once(pair, history, "entry-2", "key")
    assert [lost.outcome, again.outcome] == ["outcome unknown"] * 2
    await collect_and_check(pair, history)


async def test_outcome_is_unknown_while_the_holder_of_the_claim_is_paused(pair):
    for name in SERVICES:
        await pair.faults(pair.url(name), delay_seconds=1.0)
    history = History()
    first = asyncio.create_task(file_once(pair, history, "entry-1", "key"))
    await asyncio.sleep(0.3)
    pair.processes_by_name["entry-1"].send(signal.SIGSTOP)
    repeat = await file_once(pair, history, "entry-2", "key")
    assert (repeat.status, repeat.outcome) == (409, "outcome unknown")
    pair.processes_by_name["entry-1"].send(signal.SIGCONT)
    await first
    await collect_and_check(pair, history)


async def test_passed_deadline_is_rejected_before_the_claim(pair):
    url = f"{pair.url('entry-1')}/services/filings/filings"
    headers = {**AUTHORIZATION, "Idempotency-Key": "key", "X-Request-Deadline": "1"}
    async with pair.session.post(url, data="form", headers=headers) as response:
        problem = await response.json(content_type=None)
    assert (response.status, problem["outcome"]) == (408, "not run")
    assert await pair.get(f"{pair.url('service-1')}/log") == []


async def test_request_moved_before_its_first_token_fails(pair):
    """Both engines leave while the prompt is computed, and there is no other one."""
    deadline = {"X-Request-Deadline": str(time.time() + 5.0)}
    text = prompt(1, words=30_000)
    answering = asyncio.create_task(complete(pair, "entry-1", text, 5, **deadline))
    await pair.until(lambda: any_run(pair), "an engine computes the prompt")
    await pair.notify(["engine-1", "engine-2"], seconds=1.0)
    answer = await answering
    assert answer.problem["outcome"] == "failed"


async def any_run(pair):
    logs = [await pair.get(f"{pair.url(n)}/log") for n in ("engine-1", "engine-2")]
    return any(log["runs"] for log in logs)


async def test_model_request_without_endpoints_gets_retry_after(pair):
    await kill(pair, ["engine-1", "engine-2"])
    answer = await complete(pair, "entry-1", prompt(1), 10)
    assert answer.problem["outcome"] in ("not run", "failed")
    assert answer.retry_after is not None
