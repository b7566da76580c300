"""Measures goodput at 0.5 to 3.0 times the capacity, and each workspace's share.

Checks that, with limits, goodput at 3.0 times the capacity is at least 0.90 of its
peak. Nine engines and nine daemons in virtual time.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from amaranthhollow.decisions.endpoints import EndpointTable, endpoint_fact
from amaranthhollow.decisions.limits import Admit, Capacity, FairShare
from benchmarks.serving import (
    TOKEN_SECONDS,
    Clock,
    Dispatchers,
    Engine,
    Job,
    Totals,
    listed_engine,
)

__all__: list[str] = []

SEED = 23
DAEMONS = 9
ENGINES = 9
SLOTS = 16
OUTPUT_TOKENS = 100
DURATION_SECONDS = 120.0
FLOODING_WORKSPACE = "large"
FLOOD_SHARE = 0.8
WORKSPACES = ("a", "b", "c", "d")
WEIGHTS = {FLOODING_WORKSPACE: 2.0, "a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0}
MIN_GOODPUT_RATIO = 0.90
CAPACITY_RATE = ENGINES * SLOTS / (OUTPUT_TOKENS * TOKEN_SECONDS)


class OverloadSimulation:
    """A simulation at one request rate, with or without limits."""

    def __init__(self, load_factor: float, *, is_limited: bool) -> None:
        self.rate = load_factor * CAPACITY_RATE
        self.is_limited = is_limited
        self.random = Random(SEED)
        self.clock = Clock()
        self.table = EndpointTable()
        self.engines = {f"e{n}": self._engine(n) for n in range(ENGINES)}
        self.dispatchers = Dispatchers(self.clock, self.engines, DAEMONS)
        self.limits = [FairShare() for _ in range(DAEMONS)]
        self.totals = Totals()
        self.clock.schedule(0.0, self._arrive)
        self.dispatchers.start()

    def _engine(self, number: int) -> Engine:
        self.table.apply(endpoint_fact(listed_engine(number, SLOTS)), 0.0)
        return Engine(self.clock, SLOTS, 10**6)

    def run(self) -> Totals:
        """Run the simulation to its end, and return the totals."""
        self.clock.run_until(DURATION_SECONDS)
        return self.totals

    def _arrive(self) -> None:
        is_flooding = self.random.random() < FLOOD_SHARE
        workspace = (
            FLOODING_WORKSPACE if is_flooding else self.random.choice(WORKSPACES)
        )
        prefix = f"{workspace}-{self.random.randrange(20)}"
        job = Job(workspace, prefix, 200, 50, OUTPUT_TOKENS, self.clock.now)
        self.totals.jobs.append(job)
        self._admit(job)
        self.clock.schedule(self.random.expovariate(self.rate), self._arrive)

    def _admit(self, job: Job) -> None:
        daemon = self.random.randrange(DAEMONS)
        chooser, limits = self.dispatchers.choosers[daemon], self.limits[daemon]
        reported = sum(chooser.load(host).requests for host in self.engines)
        capacity = Capacity(ENGINES * SLOTS, reported, DAEMONS)
        decision = limits.admit(job.workspace, WEIGHTS, capacity, self.clock.now)
        if self.is_limited and not isinstance(decision, Admit):
            job.is_rejected = True
            return
        limits.record_started(job.workspace)
        usable = self.table.usable("drafting", self.clock.now)
        engine = self.dispatchers.choose(daemon, usable, job)
        end = self.limits[daemon].record_ended
        self.dispatchers.send(daemon, engine, job, lambda: end(job.workspace))


def describe(factor: float, totals: Totals) -> int:
    """Print each workspace's requests in time, and return their number."""
    sent = Counter(job.workspace for job in totals.jobs)
    served = Counter(job.workspace for job in totals.jobs if job.is_in_time)
    rejected = sum(job.is_rejected for job in totals.jobs)
    shares = ", ".join(f"{w} {served[w]}/{sent[w]}" for w in sorted(sent))
    print(
        f"  {factor:.1f} of the capacity: in time {totals.in_time}/{len(totals.jobs)}, "
        f"rejected {rejected}, first token p95 {totals.first_token_p95():.2f} s; "
        f"{shares}"
    )
    return totals.in_time


def main() -> None:
    """Print the results at every load, without and with limits, and the verdict."""
    for is_limited in (False, True):
        print("with limits" if is_limited else "without limits")
        goodput = {
            factor: describe(
                factor, OverloadSimulation(factor, is_limited=is_limited).run()
            )
            for factor in (0.5, 0.8, 1.0, 1.5, 3.0)
        }
    ratio = goodput[3.0] / max(goodput.values())
    verdict = "ok" if ratio >= MIN_GOODPUT_RATIO else "RED"
    print(f"{verdict}: goodput at 3.0 is {ratio:.2f} of its peak, bound 0.90")


main()
