"""Background tasks that fail."""

from __future__ import annotations

import asyncio

import logbook
import pytest
from hypothesis import given, strategies as st

from amaranthhollow.entry.metrics import Metrics
from amaranthhollow.entry.supervisor import (
    MAX_DELAY_SECONDS,
    Supervisor,
    TaskRestarts,
)


class FailingTask:
    """Raises or returns in its first runs, and then runs on."""

    def __init__(self, ends):
        self.ends = list(ends)
        self.runs = 0

    async def run(self):
        self.runs += 1
        if self.ends:
            end = self.ends.pop(0)
            if end is not None:
                raise end
            return
        await asyncio.Event().wait()


async def run_for(seconds, tasks):
    metrics = Metrics()
    supervisor = Supervisor(metrics, lambda: 0.5)
    for name, task in tasks.items():
        supervisor.start(name, task.run)
    await asyncio.sleep(seconds)
    running = dict(metrics.background_tasks.values)
    supervisor.cancel()
    await asyncio.sleep(0)
    return metrics, running


# A host went on for good without the duty of a task that had failed once.
@pytest.mark.parametrize("end", [ValueError("x"), RecursionError("x"), None])
async def test_failed_task_is_started_again(end):
    task, other = FailingTask([end, end]), FailingTask([])
    with logbook.TestHandler() as logged:
        metrics, running = await run_for(0.6, {"a": task, "b": other})

    assert (task.runs, other.runs) == (3, 1)
    assert running == {"a": 1.0, "b": 1.0}
    assert metrics.task_failures.values == {("a",): 2}
    lines = [r.extra for r in logged.records if r.message == "background task failed"]
    assert [line["task"] for line in lines] == ["a", "a"]
    assert all("test_supervisor.py" in line["where"] for line in lines) or end is None


async def test_task_that_keeps_failing_is_not_started_all_the_time():
    task = FailingTask([ValueError("x")] * 1000)
    _, running = await run_for(1.0, {"a": task})

    assert task.runs < 6
    assert running == {"a": 0.0}


def test_delays_grow_and_stay_bounded():
    restarts, delays = TaskRestarts(), []
    for _ in range(100):
        restarts = restarts.failed(0.0)
        delays.append(restarts.delay_seconds(0.5))

    assert delays == sorted(delays)
    assert delays[0] < 1.0
    assert delays[-1] == MAX_DELAY_SECONDS


def test_a_task_that_ran_for_long_is_started_again_soon():
    restarts = TaskRestarts(50).failed(60.0)

    assert restarts.delay_seconds(0.5) == TaskRestarts(1).delay_seconds(0.5)


@given(failures=st.integers(1, 10**9), jitter=st.floats(0, 1))
def test_jitter_spreads_the_delay_by_half(failures, jitter):
    restarts = TaskRestarts(failures)

    ratio = restarts.delay_seconds(jitter) / restarts.delay_seconds(0.5)
    assert 0.5 <= ratio <= 1.5
