"""Chooses an endpoint by cached prefix, queued work and recent failures.

Loads are in tokens still to be read for model engines, and in busy slots for plain
services. What this host sent counts at once; what others sent, when they say so.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping
    from random import Random

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.prompts import PromptPart, PromptShape

__all__ = ["EndpointChooser", "EndpointLoad"]

# What a running request delays others by, in tokens to read: one token of its answer
# takes as long in a batch as reading this many tokens.
RUNNING_TOKENS = 150
# A request that finds all slots taken waits for one of them to end.
FULL_TOKENS = 40_000
# A failed attempt costs as much as reading a long prompt once more.
FAILURE_TOKENS = 20_000
FAILURE_SLOTS = 1.5
# Bytes between data centres are dear, a queue is dearer.
OTHER_DATA_CENTRE_SLOTS = 0.2
OTHER_DATA_CENTRE_TOKENS = 300
# Hosts that know nothing that tells endpoints apart do not all choose the same.
JITTER_SLOTS = 0.05
JITTER_TOKENS = 50
FAILURE_WEIGHT = 0.3
FAILURE_HALF_LIFE_SECONDS = 2.0
# The next endpoints in a part's order hold it with a probability that falls by this
# factor: all hosts send there what the first one has no room for.
REPLICA_SHARE = 0.5
# Further down the order the probability is too small to matter.
REPLICA_RANKS = 6
# A shared part that is read again delays other prompts and drives other parts from
# the engine's memory, so it counts for several times its tokens (benchmarks.routing).
REREAD_WEIGHT = 3.0
# What another endpoint holds is fetched for about half the price of reading it (site
# files, prices), and delays nobody.
FETCH_WEIGHT = 1.0
# The time of a fetch, as a part of the time of reading (site files, engines).
FETCH_SHARE = 0.125
# Below this, a fetch takes longer than reading (site files: 2.7 ms to set up).
MIN_FETCH_TOKENS = 500
PARTS_REMEMBERED = 1024


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests at an endpoint, and prompt tokens that have brought no event yet."""

    requests: int = 0
    pending_tokens: int = 0

    def plus(self, other: EndpointLoad, times: int = 1) -> EndpointLoad:
        """Return the sum with ``other``, or what is left if ``times`` is -1."""
        return EndpointLoad(
            self.requests + times * other.requests,
            self.pending_tokens + times * other.pending_tokens,
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
    """What one host knows of the load of endpoints, and its choice by it."""

    def __init__(self, data_centre: str, random: Random) -> None:
        """Choose on behalf of a host in ``data_centre``."""
        self._data_centre = data_centre
        self._random = random
        self._own_by_endpoint: dict[str, EndpointLoad] = {}
        self._loads_by_host: dict[str, Mapping[str, EndpointLoad]] = {}
        self._others_by_endpoint: dict[str, EndpointLoad] = {}
        self._failures_by_endpoint: dict[str, _FailureRate] = {}
        self._parts_by_endpoint: dict[str, OrderedDict[str, None]] = {}

    def record_sent(
        self, endpoint_id: str, prompt: PromptShape | None, *, fetches: bool = False
    ) -> int:
        """Count a request that is sent; returns its pending tokens.

        ``fetches`` says that what the endpoint lacks is fetched from another one.
        """
        pending = 0
        if prompt is not None:
            lacking = self._lacking_tokens(endpoint_id, prompt)
            share = FETCH_SHARE if fetches else 1.0
            pending = prompt.unshared_tokens + int(share * lacking)
            for part in prompt.shared:
                self._remember(endpoint_id, part)
        self._add(endpoint_id, 1, pending)
        return pending

    def record_prompt_read(self, endpoint_id: str, pending: int) -> None:
        """Note that a request's prompt has been read."""
        self._add(endpoint_id, 0, -pending)

    def record_ended(self, endpoint_id: str) -> None:
        """Note that a request has left the endpoint."""
        self._add(endpoint_id, -1, 0)

    def record_success(self, endpoint_id: str, now: float) -> None:
        """Note an attempt that its endpoint answered well."""
        self._note(endpoint_id, 0.0, now)

    def record_failure(self, endpoint_id: str, now: float) -> None:
        """Note an attempt that its endpoint failed."""
        self._note(endpoint_id, 1.0, now)

    def local_loads(self) -> dict[str, EndpointLoad]:
        """Return what this host has at each endpoint."""
        return dict(self._own_by_endpoint)

    def observe(self, host: str, loads: Mapping[str, EndpointLoad]) -> None:
        """Take in what another host has at each endpoint."""
        self.forget_host(host)
        self._loads_by_host[host] = loads
        self._add_others(loads, 1)

    def forget_host(self, host: str) -> None:
        """Forget a host that is gone."""
        self._add_others(self._loads_by_host.pop(host, {}), -1)

    def retain(self, endpoint_ids: Collection[str]) -> None:
        """Forget all other endpoints."""
        for table in (self._failures_by_endpoint, self._parts_by_endpoint):
            for endpoint_id in [e for e in table if e not in endpoint_ids]:
                del table[endpoint_id]

    def load(self, endpoint_id: str) -> EndpointLoad:
        """Return what all hosts are known to have at an endpoint."""
        own = self._own_by_endpoint.get(endpoint_id, NO_LOAD)
        others = self._others_by_endpoint.get(endpoint_id)
        return own if others is None else own.plus(others)

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

        ``can_fetch`` says that an endpoint can get what another one holds.
        """
        by_id = {e.host: e for e in endpoints if e.host not in tried}
        if not by_id:
            return None
        if prompt is None:
            return min(by_id.values(), key=lambda e: self._slots_cost(e, now))
        weight = FETCH_WEIGHT if can_fetch else REREAD_WEIGHT
        costs = {
            endpoint_id: self._token_cost(by_id[endpoint_id], weight * reread, now)
            for endpoint_id, reread in self._reread_tokens(prompt, by_id).items()
        }
        return by_id[min(costs, key=costs.__getitem__)]

    def cache_source(
        self, endpoints: Collection[Endpoint], chosen: Endpoint, prompt: PromptShape
    ) -> Endpoint | None:
        """Return the endpoint from which ``chosen`` best fetches what it lacks.

        None if it is known to lack little.
        """
        by_id = {e.host: e for e in endpoints if e.host != chosen.host}
        if not by_id or self._lacking_tokens(chosen.host, prompt) < MIN_FETCH_TOKENS:
            return None
        tokens = self._reread_tokens(prompt, by_id)
        return by_id[min(tokens, key=tokens.__getitem__)]

    def _lacking_tokens(self, endpoint_id: str, prompt: PromptShape) -> int:
        """Return the shared tokens that an endpoint is not known to hold."""
        lacking = (p for p in prompt.shared if not self._holds(endpoint_id, p))
        return sum(part.tokens for part in lacking)

    def _reread_tokens(
        self, prompt: PromptShape, endpoint_ids: Collection[str]
    ) -> dict[str, float]:
        """Return how many shared tokens each endpoint is expected to lack.

        None, where this host has sent all the parts before; else by the order of the
        endpoints for each part, which is the same at every host.
        """
        total = float(sum(part.tokens for part in prompt.shared))
        tokens = dict.fromkeys(endpoint_ids, total)
        for part in prompt.shared:
            for rank, endpoint_id in enumerate(_first_ranks(part, endpoint_ids)):
                tokens[endpoint_id] -= part.tokens * REPLICA_SHARE**rank
        for endpoint_id, parts in self._parts_by_endpoint.items():
            if endpoint_id in tokens and all(p.part_id in parts for p in prompt.shared):
                tokens[endpoint_id] = 0.0
        return tokens

    def _token_cost(self, endpoint: Endpoint, reread: float, now: float) -> float:
        """Return the request's cost, with that of what the endpoint lacks."""
        load = self.load(endpoint.host)
        cost = float(load.pending_tokens + RUNNING_TOKENS * load.requests)
        cost += reread + JITTER_TOKENS * self._random.random()
        if load.requests >= endpoint.listed.slots:
            cost += FULL_TOKENS
        if endpoint.listed.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_TOKENS
        return cost + FAILURE_TOKENS * self._failure_rate(endpoint.host, now)

    def _slots_cost(self, endpoint: Endpoint, now: float) -> float:
        """Return the busy part of the endpoint's slots, and what else weighs."""
        load = self.load(endpoint.host)
        cost = load.requests / max(1, endpoint.listed.slots)
        if endpoint.listed.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_SLOTS
        cost += FAILURE_SLOTS * self._failure_rate(endpoint.host, now)
        return cost + JITTER_SLOTS * self._random.random()

    def _failure_rate(self, endpoint_id: str, now: float) -> float:
        rate = self._failures_by_endpoint.get(endpoint_id)
        return 0.0 if rate is None else rate.at(now)

    def _note(self, endpoint_id: str, outcome: float, now: float) -> None:
        rate = self._failure_rate(endpoint_id, now)
        rate += FAILURE_WEIGHT * (outcome - rate)
        self._failures_by_endpoint[endpoint_id] = _FailureRate(rate, now)

    def _add(self, endpoint_id: str, requests: int, tokens: int) -> None:
        load = self._own_by_endpoint.get(endpoint_id, NO_LOAD)
        changed = EndpointLoad(
            requests=max(0, load.requests + requests),
            pending_tokens=max(0, load.pending_tokens + tokens),
        )
        if changed == NO_LOAD:
            self._own_by_endpoint.pop(endpoint_id, None)
        else:
            self._own_by_endpoint[endpoint_id] = changed

    def _add_others(self, loads: Mapping[str, EndpointLoad], times: int) -> None:
        """Add the loads of another host to the sums, or take them away."""
        for endpoint_id, load in loads.items():
            known = self._others_by_endpoint.get(endpoint_id, NO_LOAD)
            changed = known.plus(load, times)
            if changed == NO_LOAD:
                self._others_by_endpoint.pop(endpoint_id, None)
            else:
                self._others_by_endpoint[endpoint_id] = changed

    def _holds(self, endpoint_id: str, part: PromptPart) -> bool:
        return part.part_id in self._parts_by_endpoint.get(endpoint_id, ())

    def _remember(self, endpoint_id: str, part: PromptPart) -> None:
        parts = self._parts_by_endpoint.setdefault(endpoint_id, OrderedDict())
        parts[part.part_id] = None
        parts.move_to_end(part.part_id)
        if len(parts) > PARTS_REMEMBERED:
            parts.popitem(last=False)


def _first_ranks(part: PromptPart, endpoint_ids: Iterable[str]) -> Iterable[str]:
    return islice(ranked(part.part_id, endpoint_ids), REPLICA_RANKS)
