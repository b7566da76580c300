"""Fixtures that run a site as separate processes."""

from __future__ import annotations

import os
from itertools import count
from pathlib import Path

import pytest

from tests.site import Site, write_example_configuration

# Tests and pytest-xdist workers that run in parallel must not share addresses.
_worker_index = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_first_octet = int(os.environ.get("AMARANTHHOLLOW_TEST_NETWORK", "20"))
_networks = (f"127.{_first_octet + _worker_index}.{octet}" for octet in count(1))


KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
FLAKY_PREFIX = "Flaky test: "
FAILING_PREFIX = "Failing test: "


def pytest_collection_modifyitems(items):
    """Mark the tests listed in KNOWN-RED.txt as expected failures.

    A test listed as failing that passes is a failure: its entry is out of date.
    """
    lines = KNOWN_RED.read_text().splitlines()
    flaky = {li.removeprefix(FLAKY_PREFIX) for li in lines if FLAKY_PREFIX in li}
    failing = {li.removeprefix(FAILING_PREFIX) for li in lines if FAILING_PREFIX in li}
    for item in items:
        if item.nodeid in flaky | failing:
            is_strict = item.nodeid in failing
            mark = pytest.mark.xfail(reason="KNOWN-RED.txt", strict=is_strict)
            item.add_marker(mark)


def next_network() -> str:
    """Return the prefix of a /24 loopback network that no other test uses."""
    return next(_networks)


@pytest.fixture
async def site(tmp_path):
    """A site with a key-value service and an empty host list."""
    async with Site(tmp_path, next_network()) as running:
        yield running


@pytest.fixture
async def configured_site(site, tmp_path):
    """A site with two daemons, two engines, two services and a configuration."""
    await site.start_engine("engine-1")
    await site.start_engine("engine-2", "dc-2")
    await site.start_service("service-1")
    await site.start_service("service-2", "dc-2")
    await site.start_daemon("entry-1", wait_until_ready=False)
    await site.start_daemon("entry-2", "dc-2", wait_until_ready=False)
    submitted = await site.submit_sources(
        write_example_configuration(tmp_path / "config"), 0
    )
    assert submitted.returncode == 0, submitted.stderr
    for name in ("entry-1", "entry-2"):
        await site.wait_for_url(f"{site.url(name)}/ready")
        await site.wait_until(
            lambda name=name: _has_discovered_all(site, name),
            f"{name} has discovered all hosts",
        )
    return site


async def _has_discovered_all(site, name):
    state = await site.daemon_state(name)
    endpoints = len(state["endpoints_by_host"])
    return endpoints == 4 and len(state["members_by_host"]) == 2
