"""Routing policies at the users' sizes: tokens recomputed and requests in time."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from amaranthhollow.decisions.endpoints import EndpointTable, endpoint_fact
from benchmarks.serving import Clock, Dispatchers, Engine, Job, Totals, listed_engine

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.decisions.endpoints import Endpoint

__all__: list[str] = []

SEED = 17
DAEMONS = 9
DURATION_SECONDS = 240.0
WAVE_AT_SECONDS = 120.0
MAX_RECOMPUTED_RATIO = 1.10


@dataclass(frozen=True)
class Workload:
    """One user's engines and requests; lengths in tokens, rate in requests/s."""

    name: str
    engines: int
    slots: int
    cache_tokens: int
    prefixes: int
    prefix_tokens: int
    suffix_tokens: int
    output_tokens: int
    rate: float
    shared_characters: int


WORKLOADS = (
    Workload("Carnarvon Ridge, quiet", 6, 16, 60_000, 40, 800, 150, 60, 10.0, 400),
    Workload(
        "Carnarvon Ridge, fixed start", 6, 16, 60_000, 40, 800, 150, 60, 40.0, 400
    ),
    Workload("Prelungit, quiet", 9, 16, 120_000, 90, 8_000, 200, 150, 6.0, 400),
    Workload("Prelungit, fixed start", 9, 16, 120_000, 90, 8_000, 200, 150, 20.0, 400),
)


class Run:
    """One workload under one policy."""

    def __init__(self, workload: Workload, policy: str, *, with_wave: bool) -> None:
        self.workload = workload
        self.policy = policy
        self.random = Random(SEED)
        self.clock = Clock()
        self.table = EndpointTable()
        self.engines = {f"e{n}": self._engine(n) for n in range(workload.engines)}
        self.dispatchers = Dispatchers(self.clock, self.engines, DAEMONS)
        self.totals = Totals()
        self._turn = count()
        self.clock.later(0.0, self._arrive)
        self.dispatchers.start()
        if with_wave:
            self.clock.later(WAVE_AT_SECONDS, self._reclaim)

    def _engine(self, number: int) -> Engine:
        load = self.workload
        self.table.apply(endpoint_fact(listed_engine(number, load.slots)), 0.0)
        return Engine(self.clock, load.slots, load.cache_tokens)

    def result(self) -> Totals:
        """Run to the end."""
        self.clock.run_until(DURATION_SECONDS)
        return self.totals

    def _arrive(self) -> None:
        load = self.workload
        # A few files are asked about often, most of them now and then.
        number = min(int(self.random.paretovariate(0.6)) - 1, load.prefixes - 1)
        job = Job(
            workspace="w",
            prefix=f"file-{number}",
            prefix_tokens=load.prefix_tokens,
            suffix_tokens=load.suffix_tokens,
            output_tokens=load.output_tokens,
            arrived_at=self.clock.now,
        )
        self.totals.jobs.append(job)
        self._dispatch(job)
        self.clock.later(self.random.expovariate(load.rate), self._arrive)

    def _dispatch(self, job: Job) -> None:
        host = self.random.randrange(DAEMONS)
        usable = self.table.usable("drafting", self.clock.now)
        engine = _POLICIES[self.policy](self, host, usable, job)
        self.dispatchers.send(host, engine, job, lambda: None)

    def by_prefix_and_load(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """The policy of the system."""
        return self.dispatchers.choose(host, usable, job)

    def round_robin(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """Each endpoint in turn."""
        return usable[next(self._turn) % len(usable)].host

    def least_loaded(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """The endpoint with the fewest known requests."""
        chooser = self.dispatchers.choosers[host]
        return min((chooser.load(e.host).requests, e.host) for e in usable)[1]

    def least_own(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """The endpoint with the fewest requests of this host, ties at random."""
        own = self.dispatchers.choosers[host].local_loads()
        counts = {e.host: own[e.host].requests if e.host in own else 0 for e in usable}
        return min(counts, key=lambda e: (counts[e], self.random.random()))

    def _reclaim(self) -> None:
        """Take one data centre; its streams move with their cache."""
        for endpoint in self.table.all():
            if endpoint.listed.data_centre == "dc-0":
                fact = self.table.leaving_fact(endpoint.host, self.clock.now + 5.0)
                self.table.apply(fact, self.clock.now)


_POLICIES: dict[str, Callable[[Run, int, list[Endpoint], Job], str]] = {
    "round robin": Run.round_robin,
    "least known load": Run.least_loaded,
    "least own load": Run.least_own,
    "prefix and load": Run.by_prefix_and_load,
}


def main() -> None:
    """Print every workload under every policy, and the verdict on the system's."""
    verdicts = []
    for workload in WORKLOADS:
        for with_wave in (False, True):
            print(f"{workload.name}{', wave' if with_wave else ''}")
            for policy in _POLICIES:
                totals = Run(workload, policy, with_wave=with_wave).result()
                ratio = totals.computed_tokens / totals.least_tokens
                print(
                    f"  {policy:22} in time {totals.in_time}/{len(totals.jobs)} "
                    f"first token p95 {totals.first_token_p95():.2f} s, "
                    f"computed {totals.computed_tokens / 1e6:.2f} M prompt tokens, "
                    f"{ratio:.2f} of the least possible"
                )
            if "Prelungit" in workload.name and not with_wave:
                verdicts.append((workload.name, ratio))
    for name, ratio in verdicts:
        verdict = "ok" if ratio <= MAX_RECOMPUTED_RATIO else "RED"
        print(f"{verdict}: {name}: {ratio:.2f}, bound {MAX_RECOMPUTED_RATIO:.2f}")


main()
