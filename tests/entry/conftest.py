"""Fixtures: daemons of entry hosts before scripted stand-ins."""

from __future__ import annotations

import pytest

from tests.conftest import next_network
from tests.entry.entry_site import EntrySite


@pytest.fixture
async def site(tmp_path):
    """A site with a store that holds a configuration, and no host yet."""
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    yield site
    await site.close()


@pytest.fixture
async def daemon_address(site):
    """One daemon before two endpoints; the address of the daemon."""
    await site.add_endpoint("e1", 11)
    await site.add_endpoint("e2", 12)
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    return address
