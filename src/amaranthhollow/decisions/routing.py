"""Chooses an endpoint: prefix affinity with bounded load."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.rendezvous import ranked

if TYPE_CHECKING:
    from collections.abc import Collection

    from amaranthhollow.decisions.endpoints import Endpoint

__all__ = ["Load", "LoadReport", "Router", "prefix_key"]

BOUNDED_LOAD_FACTOR = 1.25
OWN_LOAD_WEIGHT = 0.7
PREFIX_SHARE = 0.6
MAX_PREFIX_CHARACTERS = 2048


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Requests at an endpoint, running and waiting, as it last reported."""

    requests: int


@dataclass(frozen=True)
class Load:
    """Requests at one endpoint: own ones exactly, all of them as last reported."""

    own: int = 0
    reported: int = 0

    @property
    def estimate(self) -> int:
        """Requests there are at least."""
        return max(self.own, self.reported)


NO_LOAD = Load()


class Router:
    """Counts this daemon's requests by endpoint and chooses the next one."""

    def __init__(self) -> None:
        """Start without load."""
        self._loads_by_host: dict[str, Load] = {}
        self._own_by_prefix: Counter[tuple[str, str]] = Counter()

    def load(self, host: str) -> Load:
        """Return what is known of the load of an endpoint."""
        return self._loads_by_host.get(host, NO_LOAD)

    def started(self, host: str, key: str = "") -> None:
        """Count a request with the prefix ``key`` sent to an endpoint."""
        self._own_by_prefix[host, key] += 1
        load = self.load(host)
        self._loads_by_host[host] = Load(load.own + 1, load.reported + 1)

    def ended(self, host: str, key: str = "") -> None:
        """Count a request that an endpoint is done with."""
        self._own_by_prefix[host, key] -= 1
        if not self._own_by_prefix[host, key]:
            del self._own_by_prefix[host, key]
        load = self.load(host)
        self._loads_by_host[host] = Load(
            max(0, load.own - 1), max(0, load.reported - 1)
        )

    def reported(self, host: str, requests: int) -> None:
        """Take in a load report."""
        self._loads_by_host[host] = Load(self.load(host).own, requests)

    def forget(self, host: str) -> None:
        """Forget an endpoint that is gone."""
        self._loads_by_host.pop(host, None)

    def choose(
        self,
        endpoints: Collection[Endpoint],
        key: str,
        tried: Collection[str] = (),
        slots: int = 1,
        daemons: int = 1,
    ) -> Endpoint | None:
        """Choose an endpoint for a request with the prefix ``key``.

        The endpoints are ranked by rendezvous hash of the key; the first takes the
        request whose load is within its ``slots`` or a factor of the mean: an engine
        that has room need not give up a prefix for balance. Endpoints in ``tried``
        come into question only when there is no other. One prefix gets a share of an
        endpoint's slots at most, so that a hot one does not drive the others away.
        ``daemons`` is how many daemons send requests.
        """
        fresh = [e for e in endpoints if e.host not in tried]
        by_host = {endpoint.host: endpoint for endpoint in fresh or endpoints}
        if not by_host:
            return None
        loads = self._loads_by_host
        total = sum(loads[host].estimate for host in by_host if host in loads)
        mean = (total + 1) / len(by_host)
        bound = max(BOUNDED_LOAD_FACTOR * mean, float(slots))
        share = min(daemons, max(1, slots // 2))
        for host in ranked(key, by_host):
            is_hot = self._own_by_prefix[host, key] * share >= PREFIX_SHARE * bound
            if not is_hot and self._estimate(host, share) + 1 <= bound:
                return by_host[host]
        return by_host[min(by_host, key=lambda host: self._estimate(host, share))]

    def _estimate(self, host: str, share: int) -> float:
        """Estimate the load, taking this daemon's requests for a ``share`` of all.

        Reports lag by a second, in which all daemons see the same endpoint idle. What
        a daemon sent itself is known at once, and the others send about as much.
        """
        load = self.load(host)
        others = (1 - OWN_LOAD_WEIGHT) * load.reported
        return max(load.reported, OWN_LOAD_WEIGHT * load.own * share + others)


def prefix_key(deployment: str, prompt: str) -> str:
    """Return the routing key of a prompt: its deployment and first characters.

    The number of characters is a power of two, so that the key of a conversation
    changes seldom as it grows, and prompts that share a short opening still differ.
    """
    length = min(len(prompt), MAX_PREFIX_CHARACTERS)
    return f"{deployment}\0{prompt[: 1 << max(0, length.bit_length() - 1)]}"
