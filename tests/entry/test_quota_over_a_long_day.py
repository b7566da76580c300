"""Quotas over more than the time for which hosts keep each other's reports."""

from __future__ import annotations

import pytest

from tests.entry.virtual_site import VirtualSite

KILLED = ("host-0", "host-1")


def kill_and_restart(site: VirtualSite, names: tuple[str, ...]) -> None:
    for name in names:
        site.kill(name)
    site.run(1.0)
    for name in names:
        site.start(name)


# RECOVER: a minute after a process had ended, the others took all that it had ever
# spent for spent at that moment, and refused nearly all requests.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_process_that_ended_a_minute_ago_is_not_charged_to_the_quota(monkeypatch, seed):
    site = VirtualSite(monkeypatch, host_count=6, demand=0.6, seed=seed)
    site.run(25.0)
    kill_and_restart(site, KILLED)
    site.run(5.0)
    settled_at = site.now
    site.run(75.0)

    assert site.rejections(since=settled_at) == 0
    for name in site.daemons:
        assert site.level(name) > 0.0


# The same after a cut that outlasted the reports: both sides took each other's counts
# since the start for spent at once.
@pytest.mark.parametrize("seed", [1, 2])
def test_hosts_that_were_apart_for_over_a_minute_are_not_charged_anew(
    monkeypatch, seed
):
    site = VirtualSite(monkeypatch, host_count=6, demand=0.6, seed=seed)
    site.run(15.0)
    site.cut_off = set(KILLED)
    site.run(70.0)
    site.cut_off = set()
    healed_at = site.now
    site.run(20.0)

    assert site.rejections(since=healed_at) == 0


# Hosts refused a workspace after each cut, since they charged at once what the others
# had spent from their own shares meanwhile. At most a second's worth is refused now.
@pytest.mark.parametrize("cut_off", [KILLED[:1], (*KILLED, "host-2")])
@pytest.mark.parametrize("demand", [0.6, 0.9])
def test_spending_during_a_cut_is_not_charged_at_its_end(monkeypatch, cut_off, demand):
    site = VirtualSite(monkeypatch, host_count=6, demand=demand)
    site.run(20.0)
    site.cut_off = set(cut_off)
    site.run(12.0)
    site.cut_off = set()
    healed_at = site.now
    site.run(15.0)

    asked_each_second = demand * site.quota.rate_per_second / site.cost
    assert site.rejections(since=healed_at) <= asked_each_second
