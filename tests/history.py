"""Records the attempts of concurrent filings and checks them for violations."""

from __future__ import annotations

import asyncio
import math
import time
from collections import defaultdict
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, Any

import aiohttp

from tests.site import ADVISER_KEY

if TYPE_CHECKING:
    from tests.site import Site

__all__ = ["Attempt", "History", "send_filing", "send_filings_at_random"]

CALLER_TIMEOUT_SECONDS = 8.0


@dataclass(frozen=True)
class Attempt:
    """One attempt to send a key; ``status`` is None if the caller got no response."""

    key: str
    daemon: str
    sent_at: float
    responded_at: float
    status: int | None = None
    outcome: str | None = None
    run: dict[str, Any] | None = None


@dataclass
class History:
    """The attempts of all callers and the runs that the services logged."""

    attempts: list[Attempt] = field(default_factory=list)
    runs_by_key: dict[str, list[dict]] = field(default_factory=dict)

    async def collect_runs(self, site: Site, services: list[str]) -> None:
        runs_by_key = defaultdict(list)
        for name in services:
            for run in await site.get_json(f"{site.url(name)}/log"):
                if run["key"]:
                    runs_by_key[run["key"]].append(run)
        self.runs_by_key = dict(runs_by_key)

    def violations(self) -> list[str]:
        """Return a description of every violation, with its key."""
        attempts_by_key = defaultdict(list)
        for attempt in self.attempts:
            attempts_by_key[attempt.key].append(attempt)
        violations = []
        for key, runs in self.runs_by_key.items():
            if len(runs) > 1:
                violations.append(f"{key}: ran {len(runs)} times")
        for key, attempts in attempts_by_key.items():
            violations += _check_key(key, attempts, self.runs_by_key.get(key, []))
        return violations

    def count_outcome(self, outcome: str) -> int:
        return sum(attempt.outcome == outcome for attempt in self.attempts)


def _check_key(key: str, attempts: list[Attempt], runs: list[dict]) -> list[str]:
    violations = []
    for attempt in attempts:
        if attempt.run is not None and attempt.run not in runs:
            violations.append(f"{key}: the response is the run of another key")
    may_have_run = [a for a in attempts if a.outcome != "not run"]
    if runs and not may_have_run:
        violations.append(f"{key}: ran, but every response reported that it did not")
    for run in runs:
        if not any(a.sent_at <= run["at"] <= a.responded_at for a in may_have_run):
            violations.append(f"{key}: ran outside every attempt that may have run it")
    return violations


async def send_filing(
    site: Site, history: History, daemon: str, key: str, body: str = "form", **options
) -> Attempt:
    """Send one filing, and record the attempt and its response."""
    url = f"{site.url(daemon)}/services/filings/filings"
    headers = {"Authorization": f"Bearer {ADVISER_KEY}", "Idempotency-Key": key}
    sent_at = time.time()
    attempt = Attempt(key, daemon, sent_at, math.inf)
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_SECONDS)
    method = options.get("method", "POST")
    try:
        async with site.session.request(
            method, url, data=body, headers=headers, timeout=timeout
        ) as response:
            document = await response.json(content_type=None)
            attempt = Attempt(
                key=key,
                daemon=daemon,
                sent_at=sent_at,
                responded_at=time.time(),
                status=response.status,
                outcome=document.get("outcome"),
                run=document if response.status == 201 else None,
            )
    except (aiohttp.ClientError, TimeoutError):
        pass
    history.attempts.append(attempt)
    return attempt


async def send_filings_at_random(
    site: Site, daemons: list[str], keys: int, callers: int, seed: int
) -> History:
    """Send each key three times, by concurrent callers, to daemons chosen at random."""
    history = History()
    sent_keys = [f"{seed}-{number % keys}" for number in range(keys * 3)]
    Random(seed).shuffle(sent_keys)

    async def caller(number: int) -> None:
        random = Random(seed * 1000 + number)
        for key in sent_keys[number::callers]:
            await send_filing(site, history, random.choice(daemons), key)
            await asyncio.sleep(random.uniform(0, 0.02))

    await asyncio.gather(*(caller(number) for number in range(callers)))
    return history
