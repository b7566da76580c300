"""Fixtures that run daemons of entry hosts in front of scripted endpoints."""

from __future__ import annotations

import pytest

from tests.entry.entry_site import EntrySite
from tests.networks import next_network


@pytest.fixture
async def site(tmp_path):
    """A site with a configuration in its store and no host."""
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    yield site
    await site.close()


@pytest.fixture
async def daemon_address(site):
    """The address of one daemon in front of two endpoints."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    return address
