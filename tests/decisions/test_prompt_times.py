"""The speed of engines and their load, learned from first events."""

from __future__ import annotations

from random import Random

import pytest

from amaranthhollow.decisions.choice import EndpointLoad
from amaranthhollow.decisions.prompt_times import (
    MAX_BUSY_PER_ENGINE,
    MAX_SAMPLES,
    PromptTimes,
)


def observed(tokens_per_second, constant_seconds, waits=(0.0,)):
    """Return times of prompts of many sizes that wait for ``waits`` in turn."""
    random = Random(3)
    times = PromptTimes()
    for number in range(MAX_SAMPLES):
        tokens = random.randint(50, 20_000)
        seconds = constant_seconds + tokens / tokens_per_second
        times.observe(tokens, seconds + waits[number % len(waits)])
    return times


def mean_tokens(times):
    """Return the mean size of a prompt, weighted by its tokens."""
    tokens = [sample.tokens for sample in times._samples]
    return sum(n * n for n in tokens) / sum(tokens)


@pytest.mark.parametrize("tokens_per_second", [5_000.0, 90_000.0])
@pytest.mark.parametrize("constant_seconds", [0.001, 0.06])
def test_speed_of_any_engine_is_learned(tokens_per_second, constant_seconds):
    times = observed(tokens_per_second, constant_seconds, waits=(0.0, 0.1, 0.0, 0.3))

    assert times.tokens_per_second == pytest.approx(tokens_per_second, rel=0.1)


@pytest.mark.parametrize("constant_seconds", [0.001, 0.06])
def test_constant_delay_of_first_events_keeps_no_engine_busy(constant_seconds):
    """Two thirds of what one engine reads arrive, and are spread over four."""
    speed, rate = 60_000.0, 40_000.0
    times = observed(speed, constant_seconds)
    mean_seconds = constant_seconds + mean_tokens(times) / speed
    load = EndpointLoad(1, int(rate * mean_seconds / 4))

    assert times.busy_engines([load] * 4) == pytest.approx(rate / speed, rel=0.1)


def test_load_is_not_underestimated_after_an_overload():
    """Most of the known times are long, but prompts wait no more."""
    speed, rate = 60_000.0, 40_000.0
    times = observed(speed, 0.06, waits=(0.0, 2.0, 4.0))
    mean_seconds = 0.06 + mean_tokens(times) / speed
    load = EndpointLoad(1, int(rate * mean_seconds / 4))

    assert times.busy_engines([load] * 4) >= 0.9 * rate / speed


def test_an_engine_is_not_busier_than_its_prompts():
    """A lull: one engine reads a prompt that is longer than most."""
    times = observed(60_000.0, 0.001)

    assert times.busy_engines([EndpointLoad(1, 17_000), EndpointLoad(3, 0)]) == 1.0


def test_backlog_counts_as_more_than_one_busy_engine():
    times = observed(60_000.0, 0.001)

    assert times.busy_engines([EndpointLoad(9, 45_000)]) == pytest.approx(2.5, rel=0.1)
    assert times.busy_engines([EndpointLoad(9, 900_000)]) == MAX_BUSY_PER_ENGINE


def test_engines_with_prompts_count_as_busy_before_anything_is_learned():
    times = PromptTimes()
    for _ in range(3):
        times.observe(1_000, 0.1)

    assert times.tokens_per_second is None
    assert times.busy_engines([EndpointLoad(1, 0), EndpointLoad(1, 500)]) == 1.0


def test_absurd_times_are_ignored():
    times = PromptTimes()
    for seconds in (0.0, -1.0) * 20:
        times.observe(1_000, seconds)

    assert times.tokens_per_second is None
