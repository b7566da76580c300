"""Learns from first events how fast engines read prompts, and how busy they are."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.choice import EndpointLoad

__all__ = ["PromptTimes"]

# Enough for a stable quantile; about ten seconds of one host's requests.
MAX_SAMPLES = 128
MIN_SAMPLES = 32
MIN_READING_SAMPLES = 4
# The constant part of a first event's delay hides the speed at which fewer tokens are
# read.
MIN_SPEED_TOKENS = 500
# Most prompts wait for others; those that were read at once show the engine's speed.
SPEED_QUANTILE = 0.8
# An engine whose prompts take longer to read counts as more than one busy engine, up to
# the maximum.
BACKLOG_SECONDS = 0.3
MAX_BUSY_PER_ENGINE = 3.0


@dataclass(frozen=True)
class _Sample:
    """The prompt tokens read for a first event, and the time from its request to it."""

    tokens: int
    seconds: float


class PromptTimes:
    """The latest times to the first events of one service's streams."""

    def __init__(self) -> None:
        """Start without any sample."""
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)

    def observe(self, tokens: int, seconds: float) -> None:
        """Record the first event of a stream whose prompt had ``tokens`` to read."""
        if tokens > 0 and seconds > 0:
            self._samples.append(_Sample(tokens, seconds))

    @property
    def constant_seconds(self) -> float:
        """The part of a first event's delay that no reading explains."""
        return min((sample.seconds for sample in self._samples), default=0.0)

    @property
    def tokens_per_second(self) -> float | None:
        """The speed at which an engine reads a prompt alone; None if unknown."""
        return self._speed() if len(self._samples) >= MIN_SAMPLES else None

    def reading_seconds(self, tokens: int) -> float | None:
        """Return the time to a first event after ``tokens`` are read in turn.

        None while too few prompts were read to tell.
        """
        enough = len(self._samples) >= MIN_READING_SAMPLES
        speed = self._speed() if enough else None
        return None if speed is None else self.constant_seconds + tokens / speed

    def _speed(self) -> float | None:
        constant = self.constant_seconds
        speeds = sorted(
            sample.tokens / (sample.seconds - constant)
            for sample in self._samples
            if sample.tokens >= MIN_SPEED_TOKENS and sample.seconds > constant
        )
        return speeds[int(SPEED_QUANTILE * len(speeds))] if speeds else None

    def busy_engines(self, loads: Iterable[EndpointLoad]) -> float:
        """Return how many engines the prompts without a first event keep busy.

        These are at most the engines that have any, and the ones that a backlog counts
        as. Some only wait for the constant part of a first event's delay. By Little's
        law, one engine that reads all the time without a queue has the pending tokens
        that arrive in the time of a prompt that is read alone.
        """
        pending = [load.pending_tokens for load in loads if load.pending_tokens]
        speed = self.tokens_per_second
        if speed is None:
            return float(len(pending))
        backlog = BACKLOG_SECONDS * speed
        with_prompts = sum(
            min(MAX_BUSY_PER_ENGINE, max(1.0, tokens / backlog)) for tokens in pending
        )
        pending_of_one = speed * self.constant_seconds + self._mean_tokens()
        return min(with_prompts, sum(pending) / pending_of_one)

    def _mean_tokens(self) -> float:
        """Return the mean size of a prompt, weighted by its tokens."""
        total = sum(sample.tokens for sample in self._samples)
        return sum(sample.tokens**2 for sample in self._samples) / total
