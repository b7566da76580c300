"""Tests of the endpoints after a store outage, a suspension and a restore.

Entries expire while the store is unreachable and are written again after it. A host
whose process was suspended did not read either, but the entries that are missing then
were removed. A store that returned from an older copy lists endpoints that are gone.
"""

from __future__ import annotations

import pytest
from result import Ok

from amaranthhollow.decisions.endpoints import EndpointStatus, ListedEndpoint
from amaranthhollow.state.site_state import (
    EndpointSnapshot,
    SiteDecoders,
    SiteState,
    StoredEntry,
)


def decode(endpoint_id, _):
    return Ok(ListedEndpoint(endpoint_id, 1, "10.0.0.1", 1, "dc-1", "model"))


def snapshot(revision, *endpoint_ids, era=0):
    entries = tuple(StoredEntry(name, b"", 1) for name in endpoint_ids)
    return EndpointSnapshot(revision, entries, era)


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


def test_snapshot_of_a_new_era_replaces_one_of_a_higher_revision(site):
    site.apply_endpoints(snapshot(9, "e1", "e2", "e3"), 2.0, 2.0)
    site.store_restored(3.0)
    changed = site.apply_endpoints(snapshot(4, "e1", "e3", era=1), 3.0, 3.0)

    assert changed
    assert site.snapshot.era == 1
    assert not site.apply_endpoints(snapshot(10, "e1", "e2"), 3.1, 3.1)


def test_entries_that_the_copy_lacks_stay_for_a_grace_period(site):
    site.apply_endpoints(snapshot(3, "e1", "e2", "new"), 2.0, 2.0)
    site.store_restored(3.0)
    site.apply_endpoints(snapshot(2, "e1", "e2", era=1), 3.0, 3.0)
    assert usable(site, 3.0) == {"e1", "e2", "new"}

    site.tick(6.1)
    assert usable(site, 6.1) == {"e1", "e2"}


def test_endpoint_that_was_gone_is_not_used_while_the_copy_lists_it(site):
    site.apply_endpoints(snapshot(2, "e1"), 1.5, 1.5)
    site.store_restored(2.0)
    site.apply_endpoints(snapshot(1, "e1", "e2", era=1), 2.0, 2.0)
    assert usable(site, 2.0) == {"e1"}
    site.tick(5.5)
    assert usable(site, 5.5) == {"e1"}

    site.apply_endpoints(snapshot(2, "e1", era=1), 6.0, 6.0)
    site.tick(7.0)
    assert usable(site, 7.0) == {"e1"}


def test_endpoint_that_is_listed_beyond_the_expiry_of_its_entry_is_alive(site):
    """It was cut off from the store before the restore."""
    site.apply_endpoints(snapshot(2, "e1"), 1.5, 1.5)
    site.store_restored(2.0)
    site.apply_endpoints(snapshot(1, "e1", "e2", era=1), 2.0, 2.0)
    site.tick(7.0)

    assert usable(site, 7.0) == {"e1", "e2"}


def test_leaving_endpoint_stays_so_while_the_copy_lists_it_as_ready():
    statuses = {b"ready": EndpointStatus.LIVE, b"draining": EndpointStatus.LEAVING}

    def decode_status(endpoint_id, value):
        return Ok(
            ListedEndpoint(
                endpoint_id, 1, "10.0.0.1", 1, "dc-1", "model", statuses[value]
            )
        )

    site = SiteState(SiteDecoders(None, decode_status))
    ready = EndpointSnapshot(1, (StoredEntry("e1", b"ready", 1),))
    draining = EndpointSnapshot(2, (StoredEntry("e1", b"draining", 2),))
    site.apply_endpoints(ready, 1.0, 1.0)
    site.apply_endpoints(draining, 1.5, 1.5)
    site.store_restored(2.0)
    restored = EndpointSnapshot(1, ready.entries, 1)
    site.apply_endpoints(restored, 2.0, 2.0)

    assert usable(site, 2.0) == set()


def test_configuration_is_not_confirmed_before_operators_wrote_theirs_again(site):
    site.store_restored(10.0)

    assert not site.is_configuration_current(9.9)
    assert not site.is_configuration_current(12.1)
    assert site.is_configuration_current(12.2)
