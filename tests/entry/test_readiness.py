"""When a host tells the load balancer that it may get callers."""

from __future__ import annotations

import json

import pytest

from amaranthhollow.serving.clock import now
from amaranthhollow.state.site_state import EndpointSnapshot
from tests.entry.test_fact_consumers import daemon

__all__ = ["daemon"]

CONFIGURATION = json.dumps({"version": 1, "routes": [], "limits": {}}).encode()


# Hosts without a list of endpoints answered 503 to everything while others served.
@pytest.mark.parametrize("has_list", [False, True])
def test_host_without_a_list_of_endpoints_is_not_ready(daemon, has_list):
    site = daemon.host.site
    site.apply_configuration(CONFIGURATION, now())
    if has_list:
        site.apply_endpoints(EndpointSnapshot(1, ()), now(), now())

    assert daemon._update_readiness() is has_list
