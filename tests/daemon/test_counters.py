"""Tests of counters: kept for the state dump, and sent to statsd at each flush."""

from __future__ import annotations

import socket

from amaranthhollow.daemon.counters import Counters
from amaranthhollow.settings.model import Statsd


def test_flush_sends_increments_since_previous_flush():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(2.0)
        target = Statsd(address="127.0.0.1", port=server.getsockname()[1])
        counters = Counters(target, "amaranthhollow.entry-1")
        counters.increment("requests.admitted", 2)
        counters.increment("requests.admitted")
        counters.flush()
        assert server.recv(1024) == b"amaranthhollow.entry-1.requests.admitted:3|c"
        counters.increment("requests.failed")
        counters.flush()
        assert server.recv(1024) == b"amaranthhollow.entry-1.requests.failed:1|c"
    assert counters.totals() == {"requests.admitted": 3, "requests.failed": 1}


def test_counters_are_kept_without_statsd():
    counters = Counters(None, "x")
    counters.increment("a")
    counters.flush()
    assert counters.totals() == {"a": 1}
