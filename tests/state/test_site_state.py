"""Tests that missing endpoints stay usable after a store outage only.

Entries expire while the store is unreachable and are written again after it. A host
whose process was suspended did not read either, but the entries that are missing then
were removed.
"""

from __future__ import annotations

import pytest
from result import Ok

from amaranthhollow.decisions.endpoints import ListedEndpoint
from amaranthhollow.state.site_state import (
    EndpointSnapshot,
    SiteDecoders,
    SiteState,
    StoredEntry,
)


def decode(endpoint_id, _):
    return Ok(ListedEndpoint(endpoint_id, 1, "10.0.0.1", 1, "dc-1", "model"))


def snapshot(revision, *endpoint_ids):
    return EndpointSnapshot(
        revision, tuple(StoredEntry(name, b"", 1) for name in endpoint_ids)
    )


def usable(site, now):
    return {endpoint.host for endpoint in site.usable_endpoints("model", now)}


@pytest.fixture
def site():
    """A site with two endpoints, read at time 1."""
    site = SiteState(SiteDecoders(None, decode))
    site.apply_endpoints(snapshot(1, "e1", "e2"), 1.0, 1.0)
    return site


def test_entries_that_expired_in_an_outage_stay_for_a_grace_period(site):
    site.apply_endpoints(snapshot(2, "e1"), 6.0, 6.0)
    assert usable(site, 6.0) == {"e1", "e2"}

    site.tick(8.9)
    assert usable(site, 8.9) == {"e1", "e2"}
    site.tick(9.1)
    assert usable(site, 9.1) == {"e1"}


def test_entries_removed_during_a_suspension_are_not_kept(site):
    """The host did not read for five seconds, but the store was reachable."""
    site.process_resumed(6.0)
    site.apply_endpoints(snapshot(2, "e1"), 6.1, 6.1)

    assert usable(site, 6.1) == {"e1"}


def test_a_suspension_detected_after_a_read_ends_the_grace_period(site):
    site.apply_endpoints(snapshot(2, "e1"), 6.0, 6.0)
    site.process_resumed(6.05)

    assert usable(site, 6.05) == {"e1"}
