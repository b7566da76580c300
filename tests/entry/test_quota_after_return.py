"""The quota of a workspace after all hosts have been lost and returned."""

from __future__ import annotations

import asyncio
import time

HOSTS = (1, 2, 3, 4)
RATE, BURST = 20, 20
WAITING_PER_HOST = 40
# The ledger with the levels of quotas is stored once a second.
STORED_SECONDS = 5


def start_hosts(site) -> list[str]:
    return [site.start_daemon(f"host-{n}", 20 + n) for n in HOSTS]


async def send_as_soon_as_ready(site, address: str, name: str) -> None:
    """Send what waits for a host at once, as callers do that repeat."""
    await site.wait_ready(address)
    requests = [
        site.send_request(address, "/plain/", f"{name}-{number}")
        for number in range(WAITING_PER_HOST)
    ]
    await asyncio.gather(*requests, return_exceptions=True)


# Each host counted itself as the only one and spent the whole quota at once.
async def test_hosts_that_return_share_the_quota_before_they_know_each_other(site):
    tenant = {"name": "w1", "api_keys": ["key-1"], "rate_per_s": RATE, "burst": BURST}
    site.configure(tenants=[tenant])
    for number, endpoint_id in enumerate(("e1", "e2")):
        await site.add_endpoint(endpoint_id, 11 + number)
    for address in start_hosts(site):
        await site.wait_ready(address)
    # Usage that changes has the levels stored with it.
    for number in range(4 * STORED_SECONDS):
        address = f"{site.network}.{20 + HOSTS[number % len(HOSTS)]}"
        await site.send_request(address, "/plain/", f"early-{number}")
        await asyncio.sleep(0.25)
    for process in site.processes.values():
        process.kill()
        process.wait()
    site.arrivals.clear()

    addresses = start_hosts(site)
    sending = [
        send_as_soon_as_ready(site, address, f"r{number}")
        for number, address in enumerate(addresses)
    ]
    started_at = time.monotonic()
    await asyncio.gather(*sending)
    seconds = time.monotonic() - started_at

    admitted = [a for a in site.arrivals if a.at >= started_at]
    assert admitted
    assert len(admitted) <= BURST + RATE * seconds
