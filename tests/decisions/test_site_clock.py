"""The wall-clock time that the hosts of a site agree on."""

from __future__ import annotations

import pytest

from amaranthhollow.decisions.site_clock import SiteClock


def test_peers_correct_a_clock_that_was_wrong_at_start():
    clock = SiteClock(wall_time=1003.0, monotonic_time=3.0)
    for number in range(4):
        clock.observe(
            f"host-{number}", wall_time=1010.0 + number / 100, monotonic_time=13.0
        )

    assert clock.local_wall_time(13.0) == 1013.0
    assert clock.wall_time(13.0) == pytest.approx(1010.0, abs=0.05)


def test_one_wrong_peer_has_no_effect():
    clock = SiteClock(wall_time=1000.0, monotonic_time=0.0)
    clock.observe("host-1", wall_time=1010.0, monotonic_time=10.0)
    clock.observe("host-2", wall_time=1013.0, monotonic_time=10.0)

    assert clock.wall_time(10.0) == 1010.0


def test_forgotten_peer_does_not_count():
    clock = SiteClock(wall_time=1000.0, monotonic_time=0.0)
    for host in ("host-1", "host-2"):
        clock.observe(host, wall_time=2000.0, monotonic_time=0.0)
        clock.forget(host)

    assert clock.wall_time(5.0) == 1005.0
