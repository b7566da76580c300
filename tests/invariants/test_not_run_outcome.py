"""The outcome "not run" is reported only for requests that did not run."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest

from tests.callers import AUTHORIZATION, stream_completion, unique_prompt
from tests.history import History, send_filing
from tests.site import write_example_configuration

pytestmark = pytest.mark.invariant

SERVICES = ["service-1", "service-2"]


async def collect_and_check(configured_site, history):
    await history.collect_runs(
        configured_site, [n for n in SERVICES if is_running(configured_site, n)]
    )
    assert history.violations() == []
    return history


def is_running(configured_site, name):
    return configured_site.processes_by_name[name].popen.poll() is None


async def kill(configured_site, names):
    for name in names:
        configured_site.processes_by_name[name].deliver_signal(signal.SIGKILL)
        await asyncio.to_thread(configured_site.processes_by_name[name].wait)


async def test_request_over_quota_is_not_run(configured_site, tmp_path):
    sources = write_example_configuration(tmp_path / "next")
    base = (sources / "base.yaml").read_text().replace("second: 2000", "second: 4")
    (sources / "base.yaml").write_text(base)
    assert (await configured_site.submit_sources(sources, 1)).returncode == 0
    await configured_site.wait_until(
        lambda: all_at_revision(configured_site, 2), "revision 2 is in force"
    )
    history = History()
    await asyncio.gather(
        *(
            send_filing(configured_site, history, "entry-1", f"key-{n}")
            for n in range(20)
        )
    )
    await collect_and_check(configured_site, history)
    assert history.count_outcome("not run") == 20 - len(history.runs_by_key) > 10


async def all_at_revision(configured_site, revision):
    states = [
        await configured_site.daemon_state(name) for name in ("entry-1", "entry-2")
    ]
    return all(state["configuration"]["revision"] == revision for state in states)


async def test_request_in_an_outage_is_rejected_immediately(configured_site):
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    history = History()
    started_at = time.monotonic()
    attempts = [
        await send_filing(configured_site, history, "entry-1", f"key-{n}")
        for n in range(5)
    ]
    assert time.monotonic() - started_at < 5.0
    assert [attempt.outcome for attempt in attempts] == ["not run"] * 5
    await collect_and_check(configured_site, history)
    assert history.runs_by_key == {}


async def test_unresponsive_key_value_service_times_out(configured_site):
    await configured_site.set_faults(configured_site.key_value_url, delay_seconds=30.0)
    history = History()
    attempt = await send_filing(configured_site, history, "entry-1", "key")
    assert attempt.outcome == "not run"
    await configured_site.set_faults(configured_site.key_value_url, delay_seconds=0.0)
    await asyncio.sleep(1.5)
    await collect_and_check(configured_site, history)
    assert history.runs_by_key == {}


async def test_key_is_reusable_after_every_endpoint_refused_the_connection(
    configured_site,
):
    await kill(configured_site, SERVICES)
    history = History()
    refused = await send_filing(configured_site, history, "entry-1", "key")
    assert refused.outcome == "not run"
    await configured_site.start_service("service-3")
    await configured_site.wait_until(
        lambda: all_daemons_list(configured_site, "service-3"), "service-3 is listed"
    )
    later = await send_filing(configured_site, history, "entry-2", "key")
    assert later.status == 201


async def all_daemons_list(configured_site, name):
    states = [
        await configured_site.daemon_state(entry) for entry in ("entry-1", "entry-2")
    ]
    return all(name in state["endpoints_by_host"] for state in states)


async def test_key_is_reusable_after_a_late_claim_of_a_rejected_request(
    configured_site,
):
    history = History()
    await configured_site.set_faults(
        configured_site.key_value_url,
        late_writes=1,
        late_seconds=1.0,
        delay_seconds=0.3,
    )
    filing = asyncio.create_task(
        send_filing(configured_site, history, "entry-1", "key")
    )
    await asyncio.sleep(0.75)
    await configured_site.set_faults(
        configured_site.key_value_url, down=True, delay_seconds=0.0
    )
    refused = await filing
    assert refused.outcome == "not run"
    await asyncio.sleep(1.2)
    await configured_site.set_faults(configured_site.key_value_url, down=False)
    await asyncio.sleep(1.5)
    later = await send_filing(configured_site, history, "entry-2", "key")
    assert later.status == 201
    await collect_and_check(configured_site, history)


@pytest.mark.parametrize("fault", ["crash_before", "crash_after"])
async def test_outcome_is_unknown_after_a_connection_loss(configured_site, fault):
    for name in SERVICES:
        await configured_site.set_faults(configured_site.url(name), **{fault: 10})
    history = History()
    lost = await send_filing(configured_site, history, "entry-1", "key")
    again = await send_filing(configured_site, history, "entry-2", "key")
    assert [lost.outcome, again.outcome] == ["outcome unknown"] * 2
    await collect_and_check(configured_site, history)


async def test_outcome_is_unknown_while_the_holder_of_the_claim_is_paused(
    configured_site,
):
    for name in SERVICES:
        await configured_site.set_faults(configured_site.url(name), delay_seconds=1.0)
    history = History()
    first = asyncio.create_task(send_filing(configured_site, history, "entry-1", "key"))
    await asyncio.sleep(0.3)
    configured_site.processes_by_name["entry-1"].deliver_signal(signal.SIGSTOP)
    repeat = await send_filing(configured_site, history, "entry-2", "key")
    assert (repeat.status, repeat.outcome) == (409, "outcome unknown")
    configured_site.processes_by_name["entry-1"].deliver_signal(signal.SIGCONT)
    await first
    await collect_and_check(configured_site, history)


async def test_passed_deadline_is_rejected_before_the_claim(configured_site):
    url = f"{configured_site.url('entry-1')}/services/filings/filings"
    headers = {**AUTHORIZATION, "Idempotency-Key": "key", "X-Request-Deadline": "1"}
    async with configured_site.session.post(
        url, data="form", headers=headers
    ) as response:
        problem = await response.json(content_type=None)
    assert (response.status, problem["outcome"]) == (408, "not run")
    assert (
        await configured_site.get_json(f"{configured_site.url('service-1')}/log") == []
    )


async def test_request_moved_before_its_first_token_fails(configured_site):
    """Both engines leave while the prompt is computed, and there is no other one."""
    deadline = {"X-Request-Deadline": str(time.time() + 5.0)}
    text = unique_prompt(1, words=30_000)
    answering = asyncio.create_task(
        stream_completion(configured_site, "entry-1", text, 5, **deadline)
    )
    await configured_site.wait_until(
        lambda: any_run(configured_site), "an engine computes the prompt"
    )
    await configured_site.announce_reclaim(["engine-1", "engine-2"], seconds=1.0)
    answer = await answering
    assert answer.problem["outcome"] == "failed"


async def any_run(configured_site):
    logs = [
        await configured_site.get_json(f"{configured_site.url(n)}/log")
        for n in ("engine-1", "engine-2")
    ]
    return any(log["runs"] for log in logs)


async def test_model_request_without_endpoints_gets_retry_after(configured_site):
    await kill(configured_site, ["engine-1", "engine-2"])
    answer = await stream_completion(configured_site, "entry-1", unique_prompt(1), 10)
    assert answer.problem["outcome"] in ("not run", "failed")
    assert answer.retry_after is not None
