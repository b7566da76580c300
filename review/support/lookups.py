"""A site with lookups at a plain service, and requests that crash its engines."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from review.support.engine import Engine, Run
from review.support.http import Answer, send_request
from review.support.site import FRONT

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.support.site import Site

__all__ = ["DEADLY_PREFIX", "LookupSite"]

API_KEY = "key-of-tenant-1"
SERVICE = "forecast-ledger"
HOSTNAME = "ledger.example"
DEADLY_PREFIX = "/lookup/deadly"
# Of a class of requests in the site files.
THING_COUNT = 125
THING_SKEW = 0.3
PROMISES = (408, 421, 429, 503)
STABLE_SECONDS = 3.0


@dataclass
class LookupSite:
    """Three hosts, and engines of one service behind an idempotent route."""

    site: Site
    hosts: tuple[str, ...] = ("edge-a-1", "edge-b-1", "edge-c-1")
    engines: list[Engine] = field(default_factory=list)
    deadline_ms: int = 3000
    answers: dict[int, int] = field(default_factory=dict)
    _numbers: count = field(default_factory=lambda: count(1))

    async def start(
        self,
        engine_count: int,
        work_seconds: Callable[[], float],
        *,
        is_deadly: bool = True,
        slots: int = 6,
    ) -> None:
        """Write the configuration, and start the engines and the hosts."""
        site = self.site
        site.platform.put("op/config", _configuration(self.deadline_ms))
        for number in range(engine_count):
            engine = Engine(
                site,
                f"m{number + 1}",
                f"{site.network}.{50 + number}",
                SERVICE,
                f"qld-{'abcd'[number % 4]}",
                work_seconds,
                slots=slots,
                is_deadly=lambda r: is_deadly and r.path.startswith(DEADLY_PREFIX),
            )
            await engine.start()
            self.engines.append(engine)
        for number, name in enumerate(self.hosts):
            site.add_host(name, 11 + number, f"qld-{'abc'[number]}")
            site.start_host(name, is_first=True)
        await site.wait_ready(*self.hosts)
        await asyncio.sleep(STABLE_SECONDS + 0.5)

    @property
    def crash_count(self) -> int:
        """How often engines crashed."""
        return sum(len(engine.crashes) for engine in self.engines)

    def late_attempts(self, path: str) -> set[str]:
        """Return the attempts of clients that reach engines late with a request.

        Late is over ``stable_ms`` after the request's third crash. An attempt counts
        once, however many engines the system sends it to.
        """
        crashes = self._runs_of(path, [e.crashes for e in self.engines])
        if len(crashes) < 3:
            return set()
        bound = crashes[2].at + STABLE_SECONDS
        runs = self._runs_of(path, [e.runs for e in self.engines])
        return {run.request_id for run in runs if run.at > bound}

    def _runs_of(self, path: str, by_engine: list[list[Run]]) -> list[Run]:
        runs = [run for runs in by_engine for run in runs if run.target == path]
        return sorted(runs, key=lambda run: run.at)

    async def send(self, path: str, name: str, host: str | None = None) -> Answer:
        """Send one attempt to a host, or to any."""
        host = host or random.choice(self.hosts)
        request_id = f"{name}-{next(self._numbers)}"
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {self.deadline_ms}\r\nAuthorization: Bearer {API_KEY}\r\n"
        )
        address = self.site.addresses[host]
        answer = await send_request(
            address, FRONT, head, seconds=self.deadline_ms / 1000 + 0.2
        )
        self.answers[answer.status] = self.answers.get(answer.status, 0) + 1
        return answer

    async def send_deadly(self, path: str = DEADLY_PREFIX) -> list[int]:
        """Send a deadly request as a client does: with one retry, at another host."""
        statuses = []
        first = random.choice(self.hosts)
        other = random.choice([h for h in self.hosts if h != first])
        for host in (first, other):
            answer = await self.send(path, "deadly", host)
            statuses.append(answer.status)
            self.site.record.write(
                f"{path} at {host} gets {answer.status or 'no answer'}"
            )
            if answer.status == 200:
                break
            if answer.status in PROMISES:
                wait = float(answer.headers.get("retry-after", 0))
                await asyncio.sleep(min(wait, self.deadline_ms / 3000))
        return statuses

    async def send_lookups(self, rate_per_s: float, seconds: float) -> None:
        """Send lookups at a steady rate, some things more often than others."""
        ends_at = time.monotonic() + seconds
        tasks: set[asyncio.Task] = set()
        weights = [(number + 1) ** -THING_SKEW for number in range(THING_COUNT)]
        while time.monotonic() < ends_at:
            (thing,) = random.choices(range(THING_COUNT), weights)
            task = asyncio.create_task(self.send(f"/lookup/{thing}", "lookup"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(rate_per_s))
        await asyncio.gather(*tasks)


def _configuration(timeout_ms: int) -> dict:
    return {
        "version": 3,
        "routes": [
            {
                "name": "age-lookup",
                "hostname": HOSTNAME,
                "prefix": "/lookup/",
                "route_type": "idempotent",
                "timeout_ms": timeout_ms,
                "target_latency_ms": 400,
                "priority": 2,
                "backend": SERVICE,
                "max_attempts": 2,
                "public": False,
                "session_affinity": False,
                "stream_resume": False,
            }
        ],
        "services": [
            {"name": SERVICE, "max_connections": 110, "health_path": "/health"}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [API_KEY]}],
    }
