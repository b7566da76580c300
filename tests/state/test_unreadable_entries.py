"""Entries that cannot be read among those of the endpoints."""

from __future__ import annotations

import logbook
import pytest
from result import Err, Ok

from amaranthhollow.decisions.endpoints import ListedEndpoint
from amaranthhollow.state.site_state import (
    MAX_UNREADABLE_LINES,
    EndpointSnapshot,
    SiteDecoders,
    SiteState,
    StoredEntry,
)


def decode(endpoint_id, value):
    if value:
        return Err(value.decode())
    return Ok(ListedEndpoint(endpoint_id, 1, "10.0.0.1", 1, "dc-1", "model"))


def read(revision, **values):
    """Return the list in which the given endpoints have entries with these values."""
    entries = [StoredEntry(name, value, revision) for name, value in values.items()]
    return EndpointSnapshot(revision, tuple(entries))


@pytest.fixture
def site():
    return SiteState(SiteDecoders(None, decode))


def usable(site):
    return {endpoint.host for endpoint in site.usable_endpoints("model", 9.0)}


def test_the_other_entries_of_a_list_hold(site):
    site.apply_endpoints(read(1, e1=b"", aa=b"nested", e2=b""), 1.0, 1.0)
    assert usable(site) == {"e1", "e2"}

    site.apply_endpoints(read(2, e2=b"", aa=b"nested", e3=b""), 2.0, 2.0)
    assert usable(site) == {"e2", "e3"}


def test_an_endpoint_whose_entry_becomes_readable_is_used(site):
    site.apply_endpoints(read(1, e1=b"nested"), 1.0, 1.0)
    site.apply_endpoints(read(2, e1=b""), 2.0, 2.0)

    assert usable(site) == {"e1"}


# An entry that is written again at each heartbeat would fill the log.
def test_an_unreadable_entry_is_logged_again_only_with_another_reason(site):
    with logbook.TestHandler() as logged:
        for revision in range(1, 20):
            value = b"nested" if revision < 10 else b"a port"
            site.apply_endpoints(read(revision, aa=value, e1=b""), 1.0, 1.0)

    errors = [r.extra["error"] for r in logged.records if "unreadable" in r.message]
    assert errors == ["nested", "a port"]


def test_many_unreadable_entries_are_logged_as_a_few(site):
    values = {f"a{number}": b"nested" for number in range(500)}
    with logbook.TestHandler() as logged:
        site.apply_endpoints(read(1, e1=b"", **values), 1.0, 1.0)

    lines = [r for r in logged.records if "unreadable" in r.message]
    assert len(lines) == MAX_UNREADABLE_LINES
    assert lines[0].extra["of"] == 500
    assert usable(site) == {"e1"}
