"""Quotas and budgets of repeats over hosts that part, freeze and restart."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from amaranthhollow.decisions.limits import Admit
from amaranthhollow.decisions.quota import HostCounts, QuotaLimiter, QuotaTolerance
from amaranthhollow.decisions.retries import RetryBudget
from amaranthhollow.decisions.site import Quota

HOSTS = tuple("abcdef")
RATE = 100_000.0
QUOTA = Quota(RATE, RATE, counts_tokens=True, plain_tokens=200)
# What the users' pages allow over the rate and the burst, and besides (system page).
OVER, SLACK, WINDOW_SECONDS = 0.1, 190_000, 8.0
REPEAT_RATIO, REPEAT_SLACK, REPEAT_WINDOW_SECONDS = 0.2, 56.0, 10.0
EXCHANGE_SECONDS = 0.25
HEARD_SECONDS = 1.0
COST = 2_000.0


class QuotaMachine(RuleBasedStateMachine):
    """Hosts that admit what they are asked for, and exchange what they spent."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.starts = 0
        self.limiters, self.names, self.side = {}, {}, dict.fromkeys(HOSTS, 0)
        self.heard_at = {(a, b): 0.0 for a in HOSTS for b in HOSTS if a != b}
        self.admitted = []
        for host in HOSTS:
            self.start(host, is_first=True)

    def start(self, host, *, is_first):
        self.starts += 1
        self.names[host] = f"{host}@{self.starts}"
        tolerance = QuotaTolerance(OVER)
        self.limiters[host] = QuotaLimiter(tolerance, starts_empty=not is_first)

    def counts(self, host):
        heard = [self.heard_at[host, o] for o in HOSTS if o != host]
        reachable = sum(self.now - at < HEARD_SECONDS for at in heard)
        return HostCounts(len(HOSTS), 1 + reachable)

    @rule(rounds=st.integers(1, 40), factor=st.sampled_from([0.0, 1.0, 3.0]))
    def callers_ask(self, rounds, factor):
        """All hosts are asked for ``factor`` times the rate, and then exchange."""
        for _ in range(rounds):
            self.now += EXCHANGE_SECONDS
            each = int(factor * RATE * EXCHANGE_SECONDS / COST / len(HOSTS))
            for host in HOSTS:
                self.ask(host, each)
            self.exchange()

    @rule(host=st.sampled_from(HOSTS), requests=st.integers(1, 80))
    def one_host_is_asked(self, host, requests):
        self.ask(host, requests)

    @rule(host=st.sampled_from(HOSTS))
    def a_host_restarts(self, host):
        self.start(host, is_first=False)

    @rule(inside=st.sets(st.sampled_from(HOSTS)))
    def hosts_part(self, inside):
        self.side = {host: int(host in inside) for host in HOSTS}

    @rule()
    def every_host_is_alone(self):
        self.side = {host: number for number, host in enumerate(HOSTS)}

    @rule()
    def hosts_join(self):
        self.side = dict.fromkeys(HOSTS, 0)

    def ask(self, host, requests):
        limiter, counts = self.limiters[host], self.counts(host)
        for _ in range(requests):
            decision = limiter.admit("w", QUOTA, COST, counts, self.now)
            if isinstance(decision, Admit):
                self.admitted.append((self.now, COST))

    def exchange(self):
        for host, other in self.heard_at:
            if self.side[host] == self.side[other]:
                self.heard_at[host, other] = self.now
                spent = self.limiters[other].spent()
                self.limiters[host].observe(self.names[other], spent)

    @invariant()
    def no_window_has_too_much(self):
        begin = self.now - WINDOW_SECONDS
        total = sum(cost for at, cost in self.admitted if at > begin)
        assert total <= (RATE * WINDOW_SECONDS + RATE) * (1 + OVER) + SLACK


TestQuota = QuotaMachine.TestCase
TestQuota.settings = settings(
    max_examples=100, stateful_step_count=30, deadline=None, derandomize=True
)


class RepeatMachine(RuleBasedStateMachine):
    """Hosts that repeat whenever they may; some do not know of all others."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.requests, self.repeats = [], []
        self.budgets = {host: self.budget() for host in HOSTS}

    def budget(self):
        return RetryBudget(REPEAT_RATIO, REPEAT_SLACK, REPEAT_WINDOW_SECONDS)

    @rule(seconds=st.floats(0.1, 5.0))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(requests=st.lists(st.integers(0, 60), min_size=6, max_size=6))
    def requests_come_and_all_fail(self, requests):
        for host, count in zip(HOSTS, requests, strict=True):
            for _ in range(count):
                self.budgets[host].record_request(self.now)
                self.requests.append(self.now)
            while self.budgets[host].try_spend(len(HOSTS), self.now):
                self.repeats.append(self.now)

    @invariant()
    def repeats_stay_within_what_is_allowed(self):
        begin = self.now - REPEAT_WINDOW_SECONDS
        repeats = sum(at > begin for at in self.repeats)
        requests = max(
            sum(begin - early < at <= self.now - early for at in self.requests)
            for early in (0.0, REPEAT_WINDOW_SECONDS / 2, REPEAT_WINDOW_SECONDS)
        )
        assert repeats <= REPEAT_RATIO * requests + REPEAT_SLACK


TestRepeats = RepeatMachine.TestCase
TestRepeats.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
