"""Simulated engines and dispatching hosts for the policy benchmarks.

Time is virtual and random numbers are seeded, so that the results don't depend on the
machine. An engine runs as many requests at once as it has slots, prefills one prompt
at a time, and keeps prefixes in an LRU cache of limited size.
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
# Hosts exchange their loads with each ping; the interval is that of entry.peering.
EXCHANGE_SECONDS = 0.25
EXCHANGE_LAG_SECONDS = 0.01
POLL_SECONDS = 0.02


@dataclass
class Job:
    """One request with its lengths in tokens, and the outcome of the simulation."""

    workspace: str
    prefix: str
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int
    arrived_at: float
    first_token_at: float | None = None
    computed_tokens: int = 0
    is_rejected: bool = False

    @property
    def is_in_time(self) -> bool:
        """Return whether the first token came within ``FIRST_TOKEN_BOUND_SECONDS``."""
        if self.first_token_at is None:
            return False
        return self.first_token_at - self.arrived_at <= FIRST_TOKEN_BOUND_SECONDS


class Clock:
    """Virtual time with a queue of scheduled callbacks."""

    def __init__(self) -> None:
        """Start at instant 0."""
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        """Call ``callback`` after ``delay`` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), callback))

    def run_until(self, end: float) -> None:
        """Run every callback that is due by ``end``."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._queue)
            callback()


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
        """Number of requests that are running or waiting."""
        return self._running + len(self._waiting)

    def submit(self, job: Job, on_complete: Callable[[], None]) -> None:
        """Run ``job`` when a slot is free, and call ``on_complete`` at its end."""
        self._waiting.append((job, on_complete))
        self._start_next()

    def _start_next(self) -> None:
        while self._waiting and self._running < self._slots:
            job, on_complete = self._waiting.popleft()
            self._running += 1
            self._start(job, on_complete)

    def _start(self, job: Job, on_complete: Callable[[], None]) -> None:
        cached = self._cache.get(job.prefix, 0)
        job.computed_tokens = job.prefix_tokens + job.suffix_tokens - cached
        self._cache_prefix(job)
        started_at = max(self._clock.now, self._prefill_free_at)
        seconds = job.computed_tokens / PREFILL_TOKENS_PER_SECOND
        self._prefill_free_at = started_at + seconds
        job.first_token_at = self._prefill_free_at + TOKEN_SECONDS
        ends_at = job.first_token_at + job.output_tokens * TOKEN_SECONDS
        self._clock.schedule(ends_at - self._clock.now, lambda: self._end(on_complete))

    def _cache_prefix(self, job: Job) -> None:
        self._cache[job.prefix] = job.prefix_tokens
        self._cache.move_to_end(job.prefix)
        while sum(self._cache.values()) > self._cache_tokens:
            self._cache.popitem(last=False)

    def _end(self, on_complete: Callable[[], None]) -> None:
        self._running -= 1
        on_complete()
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
    """The choosers of several hosts, which exchange the loads that they have sent."""

    def __init__(self, clock: Clock, engines: dict[str, Engine], hosts: int) -> None:
        """Create a chooser for each of ``hosts`` hosts that send to ``engines``."""
        self._clock = clock
        self._engines = engines
        self.choosers = [
            EndpointChooser(f"dc-{number % 4}", Random(number))
            for number in range(hosts)
        ]

    def start(self) -> None:
        """Exchange loads now and at each interval."""
        loads = [chooser.local_loads() for chooser in self.choosers]
        self._clock.schedule(EXCHANGE_LAG_SECONDS, lambda: self._deliver_loads(loads))
        self._clock.schedule(EXCHANGE_SECONDS, self.start)

    def choose(self, host: int, endpoints: list[Endpoint], job: Job) -> str:
        """Return the engine that a host chooses for ``job``."""
        chooser = self.choosers[host]
        return chooser.choose(endpoints, _prompt_shape(job), (), self._clock.now).host

    def send(
        self, host: int, engine: str, job: Job, on_end: Callable[[], None]
    ) -> None:
        """Send ``job`` from a host, and count it as load until it ends."""
        chooser = self.choosers[host]
        pending = chooser.record_sent(engine, _prompt_shape(job))

        def end() -> None:
            chooser.record_ended(engine)
            on_end()

        def poll() -> None:
            if job.first_token_at is None or self._clock.now < job.first_token_at:
                self._clock.schedule(POLL_SECONDS, poll)
            else:
                chooser.record_prompt_read(engine, pending)

        self._engines[engine].submit(job, end)
        poll()

    def _deliver_loads(self, loads: list[dict[str, EndpointLoad]]) -> None:
        for number, chooser in enumerate(self.choosers):
            for other, sent in enumerate(loads):
                if other != number:
                    chooser.observe(str(other), sent)


def _prompt_shape(job: Job) -> PromptShape:
    part = PromptPart(job.prefix, job.prefix_tokens)
    return PromptShape((part,), job.suffix_tokens)


@dataclass
class Totals:
    """The jobs of a simulation, and figures about them."""

    jobs: list[Job] = field(default_factory=list)

    @property
    def served(self) -> list[Job]:
        """The jobs that got a first token."""
        return [job for job in self.jobs if job.first_token_at is not None]

    @property
    def in_time(self) -> int:
        """Number of jobs whose first token came in time."""
        return sum(job.is_in_time for job in self.jobs)

    @property
    def computed_tokens(self) -> int:
        """Number of prompt tokens that the engines computed."""
        return sum(job.computed_tokens for job in self.jobs)

    @property
    def min_tokens(self) -> int:
        """Least possible prompt tokens: every prefix once, and every suffix."""
        prefixes = {job.prefix: job.prefix_tokens for job in self.served}
        return sum(prefixes.values()) + sum(job.suffix_tokens for job in self.served)

    def first_token_p95(self) -> float:
        """Return the 95th percentile of the time to the first token, in seconds."""
        waits = sorted(job.first_token_at - job.arrived_at for job in self.served)
        return waits[int(0.95 * (len(waits) - 1))] if waits else float("nan")
