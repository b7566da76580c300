"""Measures the latency that a daemon adds to a streamed response.

Sends 64 streams of 100 tokens, 8 at a time, to an engine directly and through a
daemon, and prints the daemon's processor time; checks no bound.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from statistics import median, quantiles
from typing import TYPE_CHECKING

from benchmarks.processes import cpu_seconds
from tests.callers import AUTHORIZATION
from tests.site import Site, write_example_configuration

if TYPE_CHECKING:
    import aiohttp

__all__: list[str] = []

ROUNDS = 8
CALLERS = 8
TOKENS = 100


async def timed_stream(
    session: aiohttp.ClientSession, url: str, tokens: int, number: int
) -> list[float]:
    """Stream one response; return the instants of the request and of each token."""
    body = {"model": "draft-small", "prompt": f"p{number} x", "max_tokens": tokens}
    body |= {"stream": True, "request_id": f"bench-{number}"}
    instants = [time.perf_counter()]
    async with session.post(
        f"{url}/v1/completions", json=body, headers=AUTHORIZATION
    ) as response:
        async for line in response.content:
            if line.startswith(b"data: {"):
                instants.append(time.perf_counter())
    return instants


async def measure(site: Site, url: str, tokens: int) -> list[list[float]]:
    """Send every stream to ``url``, and return the instants of each."""
    runs = []
    for round_number in range(ROUNDS):
        request_numbers = range(round_number * CALLERS, (round_number + 1) * CALLERS)
        runs += await asyncio.gather(
            *(
                timed_stream(site.session, url, tokens, number)
                for number in request_numbers
            )
        )
    return runs


def report_latencies(name: str, runs: list[list[float]]) -> tuple[float, float]:
    """Print and return the median times to the first and between tokens, in ms."""
    first = [1000 * (run[1] - run[0]) for run in runs]
    gaps = [
        1000 * (b - a) for run in runs for a, b in zip(run[1:], run[2:], strict=False)
    ]
    p95 = quantiles(first, n=20)[-1], quantiles(gaps, n=20)[-1]
    print(
        f"{name}: first token median {median(first):.2f} ms p95 {p95[0]:.2f} ms; "
        f"between tokens median {median(gaps):.2f} ms p95 {p95[1]:.2f} ms"
    )
    return median(first), median(gaps)


async def main() -> None:
    """Start a site of one engine and one daemon, and measure both paths."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder), "127.18.1") as site:
            await site.start_engine("engine-1", token_seconds=0.01)
            daemon = await site.start_daemon("entry-1", wait_until_ready=False)
            await site.submit_sources(
                write_example_configuration(Path(folder) / "config"), 0
            )
            await site.wait_for_url(f"{site.url('entry-1')}/ready")
            await site.wait_until(
                lambda: has_discovered_engine(site),
                "the daemon has discovered the engine",
            )
            await report(site, daemon.popen.pid)


async def has_discovered_engine(site: Site) -> bool:
    """Return whether the daemon has discovered the engine."""
    return bool((await site.daemon_state("entry-1"))["endpoints_by_host"])


async def report(site: Site, pid: int) -> None:
    """Print latencies, their ratios, and the processor time per request and token."""
    direct = report_latencies(
        "directly to the engine", await measure(site, site.url("engine-1"), TOKENS)
    )
    through = report_latencies(
        "through a daemon", await measure(site, site.url("entry-1"), TOKENS)
    )
    print(f"ratio: first token {through[0] / direct[0]:.3f}", end=" ")
    print(f"between tokens {through[1] / direct[1]:.3f}")
    seconds_by_tokens = {}
    for tokens in (1, TOKENS):
        before = cpu_seconds(pid)
        runs = await measure(site, site.url("entry-1"), tokens)
        seconds_by_tokens[tokens] = (cpu_seconds(pid) - before) / len(runs)
    token = (seconds_by_tokens[TOKENS] - seconds_by_tokens[1]) / (TOKENS - 1)
    request = seconds_by_tokens[1] - token
    print(f"daemon processor time: {1e6 * request:.0f} us a request", end=", ")
    print(f"{1e6 * token:.0f} us a streamed token")


asyncio.run(main())
