"""Chooses an endpoint by cached prefix, queued work and recent failures.

The load of a model engine is the number of prompt tokens that it has yet to read, that
of a plain service the number of busy slots. Requests of this host count at once, those
of other hosts when their reports arrive.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice
from typing import TYPE_CHECKING, Annotated

import msgspec

from amaranthhollow.decisions.completion_estimate import CompletionEstimator
from amaranthhollow.decisions.endpoint_load import EndpointLoads
from amaranthhollow.decisions.rendezvous import ranked
from amaranthhollow.decisions.service_choice import (
    MAX_CANDIDATES,
    Candidate,
    ServiceChoice,
)
from amaranthhollow.decoding import MAX_NUMBER

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping
    from random import Random

    from amaranthhollow.decisions.completion_estimate import CompletionEstimate
    from amaranthhollow.decisions.endpoint_load import LoadStatement, StatedLoad
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.prompts import PromptPart, PromptShape

__all__ = ["EndpointChooser", "EndpointLoad"]

# The delay that a running request causes to others, in prompt tokens: generating one
# token in a batch takes as long as reading this many.
RUNNING_COST_TOKENS = 150
# A request at an endpoint without free slots waits for another request to end.
FULL_COST_TOKENS = 40_000
# A failed attempt costs as much as reading a long prompt again.
FAILURE_COST_TOKENS = 20_000
FAILURE_COST_SLOTS = 1.5
# Traffic between data centres is expensive, but less so than waiting in a queue.
OTHER_DATA_CENTRE_COST_SLOTS = 0.2
OTHER_DATA_CENTRE_COST_TOKENS = 300
# Random cost that prevents hosts without load data from all choosing the same endpoint.
JITTER_COST_SLOTS = 0.05
JITTER_COST_TOKENS = 50
FAILURE_SMOOTHING = 0.3
FAILURE_HALF_LIFE_SECONDS = 2.0
# Probability that an endpoint holds a part, relative to the endpoint ranked before it.
# All hosts send the overflow of an endpoint to the next one in the part's ranking.
REPLICA_PROBABILITY_FACTOR = 0.5
# Lower ranks hold a part with negligible probability.
MAX_REPLICA_RANKS = 6
RANKING_CACHE_SIZE = 128
# Reading a shared part again delays other prompts and evicts other parts from the
# engine's cache, so it costs several times its tokens.
REREAD_COST_FACTOR = 3.0
# Fetching a part from another endpoint costs about half the price of reading it and
# delays no other request.
FETCH_COST_FACTOR = 1.0
# Time to fetch a part, relative to the time to read it.
FETCH_TIME_RATIO = 0.125
# A fetch takes 2.7 ms to set up, so fewer tokens are read faster than fetched.
MIN_FETCH_TOKENS = 500
MAX_PARTS_PER_ENDPOINT = 1024


# A host whose count is off by a moment may report less than nothing.
Load = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """A host's requests at an endpoint, and prompt tokens without a first event yet."""

    requests: Load = 0
    pending_tokens: Load = 0

    def plus(self, other: EndpointLoad, sign: int = 1) -> EndpointLoad:
        """Return the sum with ``other``, or the difference if ``sign`` is -1."""
        return EndpointLoad(
            self.requests + sign * other.requests,
            self.pending_tokens + sign * other.pending_tokens,
        )


@dataclass(frozen=True)
class _FailureRate:
    rate: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        elapsed = max(0.0, now - self.updated_at)
        return self.rate * 0.5 ** (elapsed / FAILURE_HALF_LIFE_SECONDS)


NO_LOAD = EndpointLoad()


class EndpointChooser:
    """Chooses endpoints for one host by the load and failures it has observed."""

    def __init__(self, data_centre: str, random: Random) -> None:
        """Choose on behalf of a host in ``data_centre``."""
        self._data_centre = data_centre
        self._random = random
        self._local_by_endpoint: dict[str, EndpointLoad] = {}
        self._loads_by_host: dict[str, Mapping[str, EndpointLoad]] = {}
        self._others_by_endpoint: dict[str, EndpointLoad] = {}
        self._failures_by_endpoint: dict[str, _FailureRate] = {}
        self._parts_by_endpoint: dict[str, OrderedDict[str, None]] = {}
        self.stated_loads = EndpointLoads()
        self.estimator = CompletionEstimator(self.stated_loads)
        self._service_choice = ServiceChoice(self.stated_loads, self.estimator, random)

    def record_sent(
        self, endpoint_id: str, prompt: PromptShape | None, *, fetches: bool = False
    ) -> int:
        """Count a request as sent; return its pending tokens.

        With ``fetches``, the endpoint fetches missing parts of the prompt from another.
        """
        pending = 0
        if prompt is not None:
            missing = self._missing_tokens(endpoint_id, prompt)
            time_ratio = FETCH_TIME_RATIO if fetches else 1.0
            pending = prompt.unshared_tokens + int(time_ratio * missing)
            for part in prompt.shared:
                self._record_part(endpoint_id, part)
        self._add(endpoint_id, 1, pending)
        return pending

    def record_prompt_read(self, endpoint_id: str, pending: int) -> None:
        """Subtract the pending tokens of a request whose prompt has been read."""
        self._add(endpoint_id, 0, -pending)

    def record_ended(self, endpoint_id: str) -> None:
        """Count a request as no longer at the endpoint."""
        self._add(endpoint_id, -1, 0)

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Record an attempt to which the endpoint responded."""
        self._update_failure_rate(endpoint_id, 0.0, now)

    def record_failure(self, endpoint_id: str, now: float) -> None:
        """Record an attempt that failed at the endpoint."""
        self._update_failure_rate(endpoint_id, 1.0, now)

    def record_statement(
        self, endpoint_id: str, statement: LoadStatement, now: float
    ) -> None:
        """Record what an endpoint states of its load in a response to this host.

        The request that is answered has ended there, but still counts here.
        """
        if self.stated_loads.observe(endpoint_id, statement, now):
            is_answering = self.local_load(endpoint_id).requests > 0
            self._record_stated(endpoint_id, ended=int(is_answering))

    def merge_statements(self, facts: Mapping[str, StatedLoad], now: float) -> None:
        """Record what other hosts have heard endpoints state."""
        for endpoint_id in self.stated_loads.merge(facts, now):
            self._record_stated(endpoint_id)

    def local_load(self, endpoint_id: str) -> EndpointLoad:
        """Return the load that this host causes at an endpoint."""
        return self._local_by_endpoint.get(endpoint_id, NO_LOAD)

    def local_loads(self) -> dict[str, EndpointLoad]:
        """Return the load that this host causes at each endpoint."""
        return dict(self._local_by_endpoint)

    def observe(self, host: str, loads: Mapping[str, EndpointLoad]) -> None:
        """Replace the load that another host reports at each endpoint."""
        self.forget_host(host)
        self._loads_by_host[host] = loads
        self._add_others(loads, 1)

    def forget_host(self, host: str) -> None:
        """Remove the load of a host that is gone."""
        self._add_others(self._loads_by_host.pop(host, {}), -1)

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Remove failures and cached parts of all other endpoints."""
        for table in (self._failures_by_endpoint, self._parts_by_endpoint):
            for endpoint_id in [e for e in table if e not in endpoint_ids]:
                del table[endpoint_id]
        self.estimator.retain(endpoint_ids)
        self._service_choice.retain(endpoint_ids)

    def load(self, endpoint_id: str) -> EndpointLoad:
        """Return the known load of all hosts at an endpoint."""
        local = self._local_by_endpoint.get(endpoint_id, NO_LOAD)
        others = self._others_by_endpoint.get(endpoint_id)
        return local if others is None else local.plus(others)

    def choose(
        self,
        endpoints: Collection[Endpoint],
        prompt: PromptShape | None,
        tried: Collection[str],
        now: float,
        *,
        can_fetch: bool = False,
    ) -> Endpoint | None:
        """Choose an endpoint that is not in ``tried``, or None.

        With ``can_fetch``, endpoints can fetch cached parts from one another.
        """
        by_id = {e.listed.host: e for e in endpoints}
        for endpoint_id in tried:
            by_id.pop(endpoint_id, None)
        if not by_id:
            return None
        if prompt is None:
            return self._choose_for_service(by_id, now)
        costs = self._token_costs(by_id, now)
        cost_factor = FETCH_COST_FACTOR if can_fetch else REREAD_COST_FACTOR
        for endpoint_id, reread in self._reread_tokens(prompt, by_id).items():
            costs[endpoint_id] += cost_factor * reread
        return by_id[min(costs, key=costs.__getitem__)]

    def estimate(
        self,
        endpoint: Endpoint,
        prompt: PromptShape | None,
        output_tokens: int,
        now: float,
    ) -> CompletionEstimate | None:
        """Return when a request would begin and end at an endpoint, if that is known.

        For plain services the requests that wait there are corrected by what the
        endpoint states. Example::

            estimate = chooser.estimate(endpoint, None, 0, now)
            is_late = estimate is not None and estimate.ends_at > deadline
        """
        load = self.load(endpoint.host)
        slots = endpoint.listed.slots
        if prompt is None:
            expected = self._service_choice.expected_requests(
                self._candidate(endpoint, now), now
            )
            load = EndpointLoad(round(expected), load.pending_tokens)
        statement = self.stated_loads.statement(endpoint.host, now)
        if statement is not None:
            slots = statement.slots
        return self.estimator.estimate(
            endpoint.host, load, prompt, output_tokens, now, slots=slots
        )

    def cache_source(
        self, endpoints: Collection[Endpoint], chosen: Endpoint, prompt: PromptShape
    ) -> Endpoint | None:
        """Return the best endpoint from which ``chosen`` can fetch missing parts.

        Return None if it is not worth fetching what is missing.
        """
        by_id = {e.host: e for e in endpoints if e.host != chosen.host}
        if not by_id or self._missing_tokens(chosen.host, prompt) < MIN_FETCH_TOKENS:
            return None
        tokens = self._reread_tokens(prompt, by_id)
        return by_id[min(tokens, key=tokens.__getitem__)]

    def _missing_tokens(self, endpoint_id: str, prompt: PromptShape) -> int:
        """Return the shared tokens that this host has not sent to an endpoint."""
        missing = (p for p in prompt.shared if not self._has_sent_part(endpoint_id, p))
        return sum(part.tokens for part in missing)

    def _reread_tokens(
        self, prompt: PromptShape, endpoint_ids: Collection[str]
    ) -> dict[str, float]:
        """Return how many shared tokens each endpoint is expected to read again.

        Zero where this host has sent all of the parts before. Otherwise the estimate
        follows the ranking of endpoints for each part, which is the same on all hosts.
        """
        total = float(sum(part.tokens for part in prompt.shared))
        tokens = dict.fromkeys(endpoint_ids, total)
        members = tuple(tokens)
        for part in prompt.shared:
            for rank, endpoint_id in enumerate(_top_ranked(part.part_id, members)):
                tokens[endpoint_id] -= part.tokens * REPLICA_PROBABILITY_FACTOR**rank
        for endpoint_id, parts in self._parts_by_endpoint.items():
            if endpoint_id in tokens and all(p.part_id in parts for p in prompt.shared):
                tokens[endpoint_id] = 0.0
        return tokens

    def _token_costs(
        self, by_id: Mapping[str, Endpoint], now: float
    ) -> dict[str, float]:
        """Return the cost of each endpoint in tokens, without missing parts."""
        local_by_id, others_by_id = self._local_by_endpoint, self._others_by_endpoint
        data_centre, draw = self._data_centre, self._random.random
        costs = {}
        for endpoint_id, endpoint in by_id.items():
            local = local_by_id.get(endpoint_id, NO_LOAD)
            others = others_by_id.get(endpoint_id, NO_LOAD)
            listed = endpoint.listed
            requests = local.requests + others.requests
            cost = local.pending_tokens + others.pending_tokens
            cost += RUNNING_COST_TOKENS * requests + JITTER_COST_TOKENS * draw()
            if requests >= listed.slots:
                cost += FULL_COST_TOKENS
            if listed.data_centre != data_centre:
                cost += OTHER_DATA_CENTRE_COST_TOKENS
            costs[endpoint_id] = cost
        for endpoint_id, rate in self._failures_by_endpoint.items():
            if endpoint_id in costs:
                costs[endpoint_id] += FAILURE_COST_TOKENS * rate.at(now)
        return costs

    def _choose_for_service(
        self, by_id: Mapping[str, Endpoint], now: float
    ) -> Endpoint:
        """Choose by the statements of endpoints, or without any by the known load."""
        loads = self.stated_loads
        if not loads.has_any or not any(loads.statement(e, now) for e in by_id):
            return min(by_id.values(), key=lambda e: self._slots_cost(e, now))
        endpoints = list(by_id.values())
        if len(endpoints) > MAX_CANDIDATES:
            endpoints = self._random.sample(endpoints, MAX_CANDIDATES)
        candidates = [self._candidate(endpoint, now) for endpoint in endpoints]
        return by_id[
            self._service_choice.choose(candidates, len(self._loads_by_host), now)
        ]

    def _candidate(self, endpoint: Endpoint, now: float) -> Candidate:
        listed, failure_rate = endpoint.listed, self._failure_rate(endpoint.host, now)
        extra_cost = FAILURE_COST_SLOTS * failure_rate
        is_local = listed.data_centre == self._data_centre
        if not is_local:
            extra_cost += OTHER_DATA_CENTRE_COST_SLOTS
        known = self.load(endpoint.host).requests
        return Candidate(
            endpoint.host, listed.slots, known, failure_rate, extra_cost, is_local
        )

    def _record_stated(self, endpoint_id: str, ended: int = 0) -> None:
        known = self.load(endpoint_id).requests - ended
        self._service_choice.record_stated(endpoint_id, known)

    def _slots_cost(self, endpoint: Endpoint, now: float) -> float:
        """Return the cost in slots, relative to the endpoint's number of slots."""
        load = self.load(endpoint.host)
        cost = load.requests / max(1, endpoint.listed.slots)
        if endpoint.listed.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_COST_SLOTS
        cost += FAILURE_COST_SLOTS * self._failure_rate(endpoint.host, now)
        return cost + JITTER_COST_SLOTS * self._random.random()

    def _failure_rate(self, endpoint_id: str, now: float) -> float:
        rate = self._failures_by_endpoint.get(endpoint_id)
        return 0.0 if rate is None else rate.at(now)

    def _update_failure_rate(
        self, endpoint_id: str, outcome: float, now: float
    ) -> None:
        rate = self._failure_rate(endpoint_id, now)
        rate += FAILURE_SMOOTHING * (outcome - rate)
        self._failures_by_endpoint[endpoint_id] = _FailureRate(rate, now)

    def _add(self, endpoint_id: str, requests: int, tokens: int) -> None:
        load = self._local_by_endpoint.get(endpoint_id, NO_LOAD)
        changed = EndpointLoad(
            requests=max(0, load.requests + requests),
            pending_tokens=max(0, load.pending_tokens + tokens),
        )
        if changed == NO_LOAD:
            self._local_by_endpoint.pop(endpoint_id, None)
        else:
            self._local_by_endpoint[endpoint_id] = changed

    def _add_others(self, loads: Mapping[str, EndpointLoad], sign: int) -> None:
        """Add the loads of another host to the sums, or subtract them."""
        for endpoint_id, load in loads.items():
            previous = self._others_by_endpoint.get(endpoint_id, NO_LOAD)
            changed = previous.plus(load, sign)
            if changed == NO_LOAD:
                self._others_by_endpoint.pop(endpoint_id, None)
            else:
                self._others_by_endpoint[endpoint_id] = changed

    def _has_sent_part(self, endpoint_id: str, part: PromptPart) -> bool:
        return part.part_id in self._parts_by_endpoint.get(endpoint_id, ())

    def _record_part(self, endpoint_id: str, part: PromptPart) -> None:
        parts = self._parts_by_endpoint.setdefault(endpoint_id, OrderedDict())
        parts[part.part_id] = None
        parts.move_to_end(part.part_id)
        if len(parts) > MAX_PARTS_PER_ENDPOINT:
            parts.popitem(last=False)


@lru_cache(maxsize=RANKING_CACHE_SIZE)
def _top_ranked(part_id: str, endpoint_ids: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(islice(ranked(part_id, endpoint_ids), MAX_REPLICA_RANKS))
