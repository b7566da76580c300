"""A caller receives the complete answer to its own request."""

from __future__ import annotations

import asyncio
import signal

import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.streams import Chunk, FinishReason, StreamAssembler
from tests.callers import AUTHORIZATION, stream_completion, unique_prompt

pytestmark = pytest.mark.invariant

LENGTH = 8


@settings(max_examples=500, derandomize=True, database=None, deadline=None)
@given(data=st.data())
def test_late_doubled_and_reordered_chunks_of_any_attempt(data):
    """Whatever arrives in whatever order, each position is emitted once, in order."""
    assembler = StreamAssembler()
    emitted = []
    for attempt in range(1, data.draw(st.integers(1, 4)) + 1):
        assembler.begin_attempt()
        start = assembler.position
        positions = data.draw(st.permutations(range(start, LENGTH)))
        cut = data.draw(st.integers(0, len(positions)))
        for position in positions[:cut]:
            stale = data.draw(st.integers(0, attempt))
            for number in (stale, attempt, attempt):
                text = str(position) if number == attempt else "stale"
                end = FinishReason.LENGTH if position == LENGTH - 1 else None
                emitted += assembler.accept(Chunk(number, position, text, end))
    assert [event.text for event in emitted] == [str(n) for n in range(len(emitted))]
    assert [event.event_id for event in emitted] == list(range(1, len(emitted) + 1))


async def test_duplicate_chunks_of_an_engine_are_dropped(configured_site):
    expected = await stream_completion(configured_site, "entry-1", unique_prompt(1), 30)
    for name in ("engine-1", "engine-2"):
        await configured_site.set_faults(configured_site.url(name), double_chunks=True)
    answer = await stream_completion(configured_site, "entry-2", unique_prompt(1), 30)
    assert (answer.text, answer.is_complete) == (expected.text, True)


async def test_engine_that_resumes_after_its_streams_moved(configured_site):
    texts = [
        (await stream_completion(configured_site, "entry-1", unique_prompt(n), 60)).text
        for n in range(6)
    ]
    streams = [
        asyncio.create_task(
            stream_completion(configured_site, "entry-2", unique_prompt(n), 60)
        )
        for n in range(6)
    ]
    await asyncio.sleep(0.3)
    engine = configured_site.processes_by_name["engine-1"]
    engine.deliver_signal(signal.SIGSTOP)
    async with asyncio.timeout(10.0):
        answers = await asyncio.gather(*streams)
    engine.deliver_signal(signal.SIGCONT)
    await asyncio.sleep(0.5)
    assert [answer.text for answer in answers] == texts
    assert all(answer.is_complete for answer in answers)
    again = await stream_completion(configured_site, "entry-2", unique_prompt(0), 60)
    assert (again.text, again.is_complete) == (texts[0], True)


async def test_engines_that_interrupt_every_stream(configured_site):
    expected = await stream_completion(configured_site, "entry-1", unique_prompt(1), 30)
    await configured_site.set_faults(
        configured_site.url("engine-1"), crash_after_tokens=10
    )
    await configured_site.set_faults(
        configured_site.url("engine-2"), crash_after_tokens=12
    )
    answer = await stream_completion(configured_site, "entry-1", unique_prompt(1), 30)
    # Both engines closed the connection while it ran, so the request is quarantined.
    assert answer.is_complete is False
    assert answer.problem["outcome"] == "failed"
    assert expected.text.startswith(answer.text)


async def test_slow_reader_receives_every_event(configured_site):
    url = f"{configured_site.url('entry-1')}/v1/completions"
    body = {"model": "draft-small", "prompt": unique_prompt(3), "max_tokens": 200}
    body["stream"] = True
    count = 0
    async with configured_site.session.post(
        url, json=body, headers=AUTHORIZATION
    ) as response:
        async for line in response.content:
            count += line.startswith(b"data: ")
            if count % 20 == 0:
                await asyncio.sleep(0.02)
    assert count == 201
