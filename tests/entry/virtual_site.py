"""Daemons of entry hosts that exchange datagrams in virtual time, without sockets."""

from __future__ import annotations

import heapq
import sys
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Admit
from amaranthhollow.decisions.membership import DaemonInfo, DaemonStatus
from amaranthhollow.decisions.site import Quota
from amaranthhollow.entry import service
from amaranthhollow.entry.service import Daemon
from amaranthhollow.entry.settings import Bounds, EntrySettings, PortRange
from amaranthhollow.serving import clock

if TYPE_CHECKING:
    import pytest

__all__ = ["BOUNDS", "VirtualSite"]

EPOCH = 1_700_000_000.0
LATENCY_SECONDS = 0.002
DATA_CENTRE = "dc-1"
BOUNDS = Bounds(
    key_removal_ms=5000,
    lease_ms=3000,
    shutdown=8,
    usage_window=5,
    usage_due=10,
    repeat_ratio=0.2,
    repeat_slack=56,
    repeat_window=10,
    quota_over=0.1,
    quota_slack=190_000,
    quota_window=8,
)


@dataclass
class VirtualSite:
    """Hosts that each admit an equal part of the requests of one workspace.

    ``demand`` is what the workspace asks of all hosts together, as a fraction of its
    quota. Example::

        site = VirtualSite(monkeypatch, host_count=5)
        site.run(20.0)
        site.kill("host-0")
    """

    patch: pytest.MonkeyPatch
    host_count: int
    demand: float = 0.5
    quota: Quota = Quota(100_000.0, 100_000.0, counts_tokens=True, plain_tokens=200)
    cost: float = 2_000.0
    loss: float = 0.0
    seed: int = 1
    now: float = 1_000.0
    daemons: dict[str, Daemon] = field(default_factory=dict)
    clock_errors: dict[str, float] = field(default_factory=dict)
    cut_off: set[str] = field(default_factory=set)
    admitted: list[tuple[float, str]] = field(default_factory=list)
    rejected: list[tuple[float, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self._events: list[tuple[float, int, object, tuple]] = []
        self._count = 0
        self._wall_error = 0.0
        original = clock.now
        for name, module in list(sys.modules.items()):
            if name.startswith("amaranthhollow.") and (
                getattr(module, "now", None) is original
            ):
                self.patch.setattr(module, "now", lambda: self.now)
        wall = SimpleNamespace(time=lambda: EPOCH + self.now + self._wall_error)
        self.patch.setattr(service, "time", wall)
        for number in range(self.host_count):
            self.start(f"host-{number}", is_first_start=True)

    def address(self, name: str) -> str:
        return f"10.0.0.{name.removeprefix('host-')}"

    def start(self, name: str, *, is_first_start: bool = False) -> None:
        """Start a process on a host; the previous one there has ended."""
        address = self.address(name)
        settings = EntrySettings(
            host=name,
            data_centre=DATA_CENTRE,
            address=address,
            callers=f"{address}:1",
            readiness=f"{address}:2",
            metrics_port=3,
            store=f"{address}:4",
            cloud=f"{address}:5",
            peer_ports=PortRange(6, 20),
            bounds=BOUNDS,
            is_first_start=is_first_start,
        )
        self._wall_error = self.clock_errors.get(name, 0.0)
        daemon = Daemon(settings)
        self._wall_error = 0.0
        daemon.peering.connection_made(
            SimpleNamespace(
                sendto=lambda data, target: self._send(name, data, target[0])
            )
        )
        for number in range(self.host_count):
            info = DaemonInfo(f"10.0.0.{number}", DATA_CENTRE, DaemonStatus.ALIVE)
            if f"host-{number}" != name:
                daemon.host.membership.add_listed(f"host-{number}", info, self.now)
        self.daemons[name] = daemon
        self._schedule(self._random.random() * 0.05, self._ping, name, daemon)
        if self.demand:
            self._schedule(self._random.random() * 0.1, self._request, name, daemon)

    def kill(self, name: str) -> None:
        """End the process on a host."""
        del self.daemons[name]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, call, arguments = heapq.heappop(self._events)
            self.now = max(self.now, at)
            call(*arguments)
        self.now = end

    def rejections(self, since: float) -> int:
        """Return how many requests were rejected after a time."""
        return sum(at >= since for at, _ in self.rejected)

    def level(self, name: str) -> float:
        """Return the level of the workspace's quota that a host knows."""
        return self.daemons[name].host.quotas.levels(self.now)["w"]

    def _schedule(self, delay: float, call, *arguments) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, call, arguments))

    def _ping(self, name: str, daemon: Daemon) -> None:
        if self.daemons.get(name) is daemon:
            daemon.peering.ping_next()
            self._schedule(daemon.peering._pace.ping_interval, self._ping, name, daemon)

    def _request(self, name: str, daemon: Daemon) -> None:
        if self.daemons.get(name) is not daemon:
            return
        host = daemon.host
        decision = host.quotas.admit(
            "w", self.quota, self.cost, host.host_counts, self.now
        )
        results = self.admitted if isinstance(decision, Admit) else self.rejected
        results.append((self.now, name))
        each_seconds = self.cost * self.host_count
        each_seconds /= self.demand * self.quota.rate_per_second
        delay = each_seconds * (0.5 + self._random.random())
        self._schedule(delay, self._request, name, daemon)

    def _send(self, name: str, data: bytes, address: str) -> None:
        target = f"host-{address.rpartition('.')[2]}"
        is_cut = (name in self.cut_off) != (target in self.cut_off)
        if not is_cut and self._random.random() >= self.loss:
            self._schedule(LATENCY_SECONDS, self._receive, target, name, data)

    def _receive(self, target: str, name: str, data: bytes) -> None:
        daemon = self.daemons.get(target)
        if daemon is not None:
            daemon.peering.datagram_received(data, (self.address(name), 6))
