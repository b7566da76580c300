"""Starts an example site, streams a response, sends a filing twice, and stops."""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from pathlib import Path

from tests.site import ADVISER_KEY, ROOT, Site

__all__: list[str] = []

AUTHORIZATION = {"Authorization": f"Bearer {ADVISER_KEY}"}
DAEMONS = ("entry-1", "entry-2")


async def main() -> None:
    """Run the example."""
    with tempfile.TemporaryDirectory() as folder:
        async with Site(Path(folder), "127.19.1") as site:
            await start_site(site)
            await submit_configuration(site)
            await stream_response(site)
            await send_filing_twice(site)
            await stop_daemons(site)


async def start_site(site: Site) -> None:
    """Start two engines, two services and two daemons."""
    await asyncio.gather(
        site.start_engine("engine-1"),
        site.start_engine("engine-2", "dc-2"),
        site.start_service("service-1"),
        site.start_service("service-2", "dc-2"),
    )
    for name in DAEMONS:
        await site.start_daemon(name, wait_until_ready=False)
    for name in DAEMONS:
        await site.wait_for_url(f"{site.url(name)}/live")
    print(f"started: {', '.join(site.processes_by_name)}")


async def submit_configuration(site: Site) -> None:
    """Submit the example configuration with the operators' tool."""
    submitted = await site.submit_sources(ROOT / "examples" / "config", based_on=0)
    print(submitted.stdout.strip() or submitted.stderr.strip())
    for name in DAEMONS:
        await site.wait_for_url(f"{site.url(name)}/ready")
        await site.wait_until(
            lambda name=name: has_discovered_all(site, name),
            "every host has been discovered",
        )
    print("in force at:", ", ".join(DAEMONS))


async def has_discovered_all(site: Site, name: str) -> bool:
    """Return whether a daemon has discovered the other one and every endpoint."""
    state = await site.daemon_state(name)
    return len(state["endpoints_by_host"]) == 4 and len(state["members_by_host"]) == 2


async def stream_response(site: Site) -> None:
    """Stream one response from the first daemon."""
    body = {
        "model": "draft-small",
        "messages": [{"role": "user", "content": "Summarise the scheme rules."}],
        "max_tokens": 8,
        "stream": True,
    }
    url = f"{site.url('entry-1')}/v1/chat/completions"
    async with site.session.post(url, json=body, headers=AUTHORIZATION) as response:
        text = ""
        async for line in response.content:
            data = line.removeprefix(b"data: ").strip()
            if line.startswith(b"data: ") and data != b"[DONE]":
                text += json.loads(data)["choices"][0]["delta"]["content"]
    print(f"streamed:{text}")


async def send_filing_twice(site: Site) -> None:
    """Send one filing with the same key to both daemons, and count its runs."""
    headers = {**AUTHORIZATION, "Idempotency-Key": "quickstart-1"}
    for name in DAEMONS:
        url = f"{site.url(name)}/services/filings/filings"
        async with site.session.post(url, data="form", headers=headers) as response:
            logged_run = await response.json()
        print(f"filed at {name}: status {response.status}, run {logged_run['run']}")
    logs = [
        await site.get_json(f"{site.url(n)}/log") for n in ("service-1", "service-2")
    ]
    print(f"runs of the filing: {sum(map(len, logs))}")


async def stop_daemons(site: Site) -> None:
    """Shut down both daemons gracefully."""
    for name in DAEMONS:
        site.processes_by_name[name].deliver_signal(signal.SIGTERM)
    for name in DAEMONS:
        code = await asyncio.to_thread(site.processes_by_name[name].wait)
        print(f"{name} stopped with exit code {code}")


asyncio.run(main())
