"""Requests that may be sent elsewhere, at engines that read long prompts."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

import pytest

from amaranthhollow.decisions.attempt_timeouts import event_timeout, head_deadlines
from amaranthhollow.decisions.prompt_times import PromptTimes

TARGET_SECONDS = 1.0
DEADLINE_SECONDS = 10.0
READ_TOKENS_PER_SECOND = 64_000.0
# An engine that also writes reads at this part of its speed.
SHARED_SPEED = 0.6
SHORT_PROMPT, LONG_PROMPT = 5_000, 45_000
LONG_SHARE = 0.1


@pytest.fixture
def times():
    times = PromptTimes()
    for tokens in (1_000, 3_000, 5_000, 10_000, 20_000, 40_000):
        times.observe(tokens, 0.005 + tokens / READ_TOKENS_PER_SECOND)
    return times


class Engine:
    """An engine that reads prompts in turn, those of callers who have left as well."""

    def __init__(self):
        self.reads_until = 0.0
        self.read_tokens = 0

    def read(self, tokens, now):
        """Return when the prompt is read."""
        self.read_tokens += tokens
        speed = SHARED_SPEED * READ_TOKENS_PER_SECOND
        self.reads_until = max(self.reads_until, now) + tokens / speed
        return self.reads_until


def play(times, rate, engine_count=20, seconds=30.0, seed=5):
    """Return the tokens that engines read for each token asked for."""
    random, order = Random(seed), count()
    engines = [Engine() for _ in range(engine_count)]
    asked, at, queue = 0, 0.0, []
    while at < seconds:
        at += random.expovariate(rate)
        tokens = LONG_PROMPT if random.random() < LONG_SHARE else SHORT_PROMPT
        asked += tokens
        heapq.heappush(queue, (at, next(order), tokens, at + DEADLINE_SECONDS, 1))
    while queue:
        now, _, tokens, deadline, attempt = heapq.heappop(queue)
        engine = min(engines, key=lambda e: (e.reads_until, random.random()))
        ahead = max(0.0, engine.reads_until - now) * READ_TOKENS_PER_SECOND
        read_at = engine.read(tokens, now)
        alone = times.reading_seconds(int(ahead) + tokens)
        left_at = head_deadlines(now, deadline, TARGET_SECONDS, alone).suspect_at
        if read_at > left_at and attempt < 2:
            retry = (left_at, next(order), tokens, deadline, attempt + 1)
            heapq.heappush(queue, retry)
    return sum(engine.read_tokens for engine in engines) / asked


# One in ten prompts takes longer to read than the target of its route: engines that
# were reading it were left after that time, and others read it again.
def test_prompts_longer_than_the_target_are_read_once(times):
    assert play(times, rate=40.0) == 1.0


# With a queue at every engine, prompts that were read again made the queues longer.
def test_queue_of_prompts_at_all_engines_is_not_read_twice(times):
    assert play(times, rate=100.0) <= 1.05


def deadlines(reading_seconds, left=DEADLINE_SECONDS):
    return head_deadlines(0.0, left, TARGET_SECONDS, reading_seconds)


def test_wait_grows_with_the_prompts_ahead(times):
    alone = deadlines(times.reading_seconds(LONG_PROMPT)).suspect_at
    behind = deadlines(times.reading_seconds(3 * LONG_PROMPT)).suspect_at

    assert behind > alone > LONG_PROMPT / READ_TOKENS_PER_SECOND


def test_endpoint_without_prompts_is_suspected_after_the_target():
    assert deadlines(0.0).suspect_at == TARGET_SECONDS


def test_short_prompt_is_not_suspected_before_the_target(times):
    assert deadlines(times.reading_seconds(100)).suspect_at == TARGET_SECONDS


@pytest.mark.parametrize("left", [0.5, 4.0, 10.0])
def test_half_of_the_time_is_kept_for_another_attempt(left):
    found = deadlines(None, left)

    assert found.suspect_at == found.leave_at == left / 2


def test_too_few_samples_tell_nothing():
    times = PromptTimes()
    times.observe(1_000, 0.1)

    assert times.reading_seconds(1_000) is None


# A host without other requests at an endpoint took a pause of a sound one for its loss.
def test_pause_of_a_second_or_so_is_tolerated_without_other_requests():
    assert event_timeout(0.5, has_other_requests=False) >= 1.5
    assert event_timeout(0.5, has_other_requests=True) < 1.0


def test_stalled_stream_is_left_in_time_for_another_attempt():
    timeout = event_timeout(0.5, has_other_requests=False)

    assert timeout <= deadlines(0.0).leave_at


def test_wait_for_a_head_has_an_end_without_any_evidence(times):
    found = deadlines(times.reading_seconds(LONG_PROMPT))

    assert found.suspect_at < found.leave_at <= 5.0
