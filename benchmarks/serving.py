"""Fakes for policy benchmarks: engines with a prefix cache, and a host's choices.

Virtual time and seeded random numbers; verdicts are on counted work. An engine runs
up to its slots at once, prefills one prompt after another, and keeps prefixes in a
cache of limited size.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from amaranthhollow.decisions.choice import EndpointChooser
from amaranthhollow.decisions.endpoints import ListedEndpoint
from amaranthhollow.decisions.prompts import PromptPart, PromptShape

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.decisions.choice import EndpointLoad
    from amaranthhollow.decisions.endpoints import Endpoint

__all__ = ["Clock", "Dispatchers", "Engine", "Job", "Totals", "listed_engine"]

FIRST_TOKEN_BOUND_SECONDS = 0.64
PREFILL_TOKENS_PER_SECOND = 20_000.0
TOKEN_SECONDS = 0.025
# Hosts tell each other their loads as often as they ping (entry.peering).
EXCHANGE_SECONDS = 0.25
EXCHANGE_LAG_SECONDS = 0.01
POLL_SECONDS = 0.02


@dataclass
class Job:
    """One request: its workspace, prefix and lengths in tokens, and what happened."""

    workspace: str
    prefix: str
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int
    arrived_at: float
    first_token_at: float | None = None
    computed_tokens: int = 0
    is_refused: bool = False

    @property
    def is_in_time(self) -> bool:
        """Tell whether the first token came within the bound."""
        if self.first_token_at is None:
            return False
        return self.first_token_at - self.arrived_at <= FIRST_TOKEN_BOUND_SECONDS


class Clock:
    """A queue of events in virtual time."""

    def __init__(self) -> None:
        """Start at instant 0."""
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def later(self, delay: float, job: Callable[[], None]) -> None:
        """Run ``job`` after ``delay`` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), job))

    def run_until(self, end: float) -> None:
        """Run every event up to ``end``."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, job = heapq.heappop(self._queue)
            job()


class Engine:
    """One engine: slots, a serial prefill, and a cache of prefixes."""

    def __init__(self, clock: Clock, slots: int, cache_tokens: int) -> None:
        """Start idle with an empty cache."""
        self._clock = clock
        self._slots = slots
        self._cache_tokens = cache_tokens
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._waiting: deque[tuple[Job, Callable[[], None]]] = deque()
        self._running = 0
        self._prefill_free_at = 0.0

    @property
    def load(self) -> int:
        """Requests running and waiting."""
        return self._running + len(self._waiting)

    def submit(self, job: Job, on_done: Callable[[], None]) -> None:
        """Run ``job`` when there is a slot, and call ``on_done`` at its end."""
        self._waiting.append((job, on_done))
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and self._running < self._slots:
            job, on_done = self._waiting.popleft()
            self._running += 1
            self._start(job, on_done)

    def _start(self, job: Job, on_done: Callable[[], None]) -> None:
        cached = self._cache.get(job.prefix, 0)
        job.computed_tokens = job.prefix_tokens + job.suffix_tokens - cached
        self._remember(job)
        started_at = max(self._clock.now, self._prefill_free_at)
        seconds = job.computed_tokens / PREFILL_TOKENS_PER_SECOND
        self._prefill_free_at = started_at + seconds
        job.first_token_at = self._prefill_free_at + TOKEN_SECONDS
        ends_at = job.first_token_at + job.output_tokens * TOKEN_SECONDS
        self._clock.later(ends_at - self._clock.now, lambda: self._end(on_done))

    def _remember(self, job: Job) -> None:
        self._cache[job.prefix] = job.prefix_tokens
        self._cache.move_to_end(job.prefix)
        while sum(self._cache.values()) > self._cache_tokens:
            self._cache.popitem(last=False)

    def _end(self, on_done: Callable[[], None]) -> None:
        self._running -= 1
        on_done()
        self._start_next()


def listed_engine(number: int, slots: int) -> ListedEndpoint:
    """Return an engine as the platform lists it, in one of four data centres."""
    return ListedEndpoint(
        host=f"e{number}",
        incarnation=1,
        address="127.0.0.1",
        port=9000,
        data_centre=f"dc-{number % 4}",
        deployment="drafting",
        slots=slots,
    )


class Dispatchers:
    """The choosers of several hosts, which tell each other what they have sent."""

    def __init__(self, clock: Clock, engines: dict[str, Engine], hosts: int) -> None:
        """Send to ``engines`` from this many hosts."""
        self._clock = clock
        self._engines = engines
        self.choosers = [
            EndpointChooser(f"dc-{number % 4}", Random(number))
            for number in range(hosts)
        ]

    def start(self) -> None:
        """Exchange loads now and at each interval."""
        loads = [chooser.local_loads() for chooser in self.choosers]
        self._clock.later(EXCHANGE_LAG_SECONDS, lambda: self._deliver(loads))
        self._clock.later(EXCHANGE_SECONDS, self.start)

    def choose(self, host: int, endpoints: list[Endpoint], job: Job) -> str:
        """Return the engine that a host would send ``job`` to."""
        chooser = self.choosers[host]
        return chooser.choose(endpoints, _shape(job), (), self._clock.now).host

    def send(
        self, host: int, engine: str, job: Job, on_end: Callable[[], None]
    ) -> None:
        """Send ``job`` on behalf of a host, and count it until it ends."""
        chooser = self.choosers[host]
        pending = chooser.record_sent(engine, _shape(job))

        def end() -> None:
            chooser.record_ended(engine)
            on_end()

        def poll() -> None:
            if job.first_token_at is None or self._clock.now < job.first_token_at:
                self._clock.later(POLL_SECONDS, poll)
            else:
                chooser.record_prompt_read(engine, pending)

        self._engines[engine].submit(job, end)
        poll()

    def _deliver(self, loads: list[dict[str, EndpointLoad]]) -> None:
        for number, chooser in enumerate(self.choosers):
            for other, sent in enumerate(loads):
                if other != number:
                    chooser.observe(str(other), sent)


def _shape(job: Job) -> PromptShape:
    part = PromptPart(job.prefix, job.prefix_tokens)
    return PromptShape((part,), job.suffix_tokens)


@dataclass
class Totals:
    """What a run came to."""

    jobs: list[Job] = field(default_factory=list)

    @property
    def served(self) -> list[Job]:
        """Jobs whose first token came."""
        return [job for job in self.jobs if job.first_token_at is not None]

    @property
    def in_time(self) -> int:
        """Count the jobs in time."""
        return sum(job.is_in_time for job in self.jobs)

    @property
    def computed_tokens(self) -> int:
        """Prompt tokens that were computed."""
        return sum(job.computed_tokens for job in self.jobs)

    @property
    def least_tokens(self) -> int:
        """Prompt tokens at best: every prefix once, and every suffix."""
        prefixes = {job.prefix: job.prefix_tokens for job in self.served}
        return sum(prefixes.values()) + sum(job.suffix_tokens for job in self.served)

    def first_token_p95(self) -> float:
        """Return the 95th percentile of the time to the first token, in seconds."""
        waits = sorted(job.first_token_at - job.arrived_at for job in self.served)
        return waits[int(0.95 * (len(waits) - 1))] if waits else float("nan")
