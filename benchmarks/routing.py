"""Compares routing policies by prompt tokens computed and first tokens in time.

Runs four workloads in virtual time, each with and without the reclaim of a data
centre. Checks that the system's policy computes at most 1.10 of the least possible
prompt tokens in the Prelungit workloads without a reclaim.
"""

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
RECLAIM_AT_SECONDS = 120.0
MAX_RECOMPUTED_RATIO = 1.10


@dataclass(frozen=True)
class Workload:
    """Engines and requests of one site; lengths in tokens, rate in requests/s."""

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


class RoutingSimulation:
    """A simulation of one workload under one policy."""

    def __init__(self, workload: Workload, policy: str, *, with_reclaim: bool) -> None:
        self.workload = workload
        self.policy = policy
        self.random = Random(SEED)
        self.clock = Clock()
        self.table = EndpointTable()
        self.engines = {f"e{n}": self._engine(n) for n in range(workload.engines)}
        self.dispatchers = Dispatchers(self.clock, self.engines, DAEMONS)
        self.totals = Totals()
        self._round_robin_count = count()
        self.clock.schedule(0.0, self._arrive)
        self.dispatchers.start()
        if with_reclaim:
            self.clock.schedule(RECLAIM_AT_SECONDS, self._reclaim)

    def _engine(self, number: int) -> Engine:
        load = self.workload
        self.table.apply(endpoint_fact(listed_engine(number, load.slots)), 0.0)
        return Engine(self.clock, load.slots, load.cache_tokens)

    def run(self) -> Totals:
        """Run the simulation to its end, and return the totals."""
        self.clock.run_until(DURATION_SECONDS)
        return self.totals

    def _arrive(self) -> None:
        load = self.workload
        # Pareto distribution: a few files get most of the requests.
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
        self.clock.schedule(self.random.expovariate(load.rate), self._arrive)

    def _dispatch(self, job: Job) -> None:
        host = self.random.randrange(DAEMONS)
        usable = self.table.usable("drafting", self.clock.now)
        engine = _POLICIES[self.policy](self, host, usable, job)
        self.dispatchers.send(host, engine, job, lambda: None)

    def by_prefix_and_load(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """Choose by cached prefix and load, as the system does."""
        return self.dispatchers.choose(host, usable, job)

    def round_robin(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """Choose each endpoint in turn."""
        return usable[next(self._round_robin_count) % len(usable)].host

    def least_known_load(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """Choose the endpoint with the fewest requests known from all hosts."""
        chooser = self.dispatchers.choosers[host]
        return min((chooser.load(e.host).requests, e.host) for e in usable)[1]

    def least_own_load(self, host: int, usable: list[Endpoint], job: Job) -> str:
        """Choose the endpoint with the fewest requests of this host, ties at random."""
        own = self.dispatchers.choosers[host].local_loads()
        counts = {e.host: own[e.host].requests if e.host in own else 0 for e in usable}
        return min(counts, key=lambda e: (counts[e], self.random.random()))

    def _reclaim(self) -> None:
        """Reclaim one data centre; its streams continue as if moved with the cache."""
        for endpoint in self.table.all():
            if endpoint.listed.data_centre == "dc-0":
                fact = self.table.leaving_fact(endpoint.host, self.clock.now + 5.0)
                self.table.apply(fact, self.clock.now)


_POLICIES: dict[str, Callable[[RoutingSimulation, int, list[Endpoint], Job], str]] = {
    "round robin": RoutingSimulation.round_robin,
    "least known load": RoutingSimulation.least_known_load,
    "least own load": RoutingSimulation.least_own_load,
    "prefix and load": RoutingSimulation.by_prefix_and_load,
}


def main() -> None:
    """Print every workload under every policy, and the verdict on the system's own."""
    verdicts = []
    for workload in WORKLOADS:
        for with_reclaim in (False, True):
            print(f"{workload.name}{', reclaim' if with_reclaim else ''}")
            for policy in _POLICIES:
                totals = RoutingSimulation(
                    workload, policy, with_reclaim=with_reclaim
                ).run()
                ratio = totals.computed_tokens / totals.min_tokens
                print(
                    f"  {policy:22} in time {totals.in_time}/{len(totals.jobs)} "
                    f"first token p95 {totals.first_token_p95():.2f} s, "
                    f"computed {totals.computed_tokens / 1e6:.2f} M prompt tokens, "
                    f"{ratio:.2f} of the least possible"
                )
            if "Prelungit" in workload.name and not with_reclaim:
                verdicts.append((workload.name, ratio))
    for name, ratio in verdicts:
        verdict = "ok" if ratio <= MAX_RECOMPUTED_RATIO else "RED"
        print(f"{verdict}: {name}: {ratio:.2f}, bound {MAX_RECOMPUTED_RATIO:.2f}")


main()
