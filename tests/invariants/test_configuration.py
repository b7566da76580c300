"""An accepted configuration is in force everywhere within seconds, and stays."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.configuration import (
    AppliedConfiguration,
    Body,
    HeadEntry,
)
from tests.site import write_example_configuration

pytestmark = pytest.mark.invariant

LIMIT_SECONDS = 6.0
DAEMONS = ("entry-1", "entry-2")


def sources(tmp_path, number):
    """Return sources in which the retention tells the submission apart."""
    retention = 7200 + number
    folder = tmp_path / f"sources-{number}"
    return write_example_configuration(folder, claim_retention_seconds=retention)


async def revisions(site, names=DAEMONS):
    states = [await site.daemon_state(name) for name in names]
    return [state["configuration"]["revision"] for state in states]


async def in_force(site, revision, names=DAEMONS):
    return set(await revisions(site, names)) == {revision}


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(order=st.lists(st.integers(1, 8), max_size=30))
def test_revision_in_force_never_falls_whatever_is_delivered(order):
    applied = AppliedConfiguration()
    body = Body(base={}, overlays_by_site={}, author="", note="", nonce="")
    for revision in order:
        entry = HeadEntry(revision, f"c{revision}", "", "", 0.0)
        after = applied.advanced(entry, body, "site")
        assert after.revision == max(applied.revision, revision)
        applied = after


async def test_accepted_change_is_in_force_within_the_limit(configured_site, tmp_path):
    submitted = await configured_site.submit_sources(sources(tmp_path, 1), 1)
    accepted_at = time.monotonic()
    assert submitted.returncode == 0
    await configured_site.wait_until(
        lambda: in_force(configured_site, 2), "revision 2", timeout=LIMIT_SECONDS
    )
    assert time.monotonic() - accepted_at < LIMIT_SECONDS


async def test_only_some_daemons_watch_the_service(configured_site):
    """At the start each daemon knows only itself, and watches; that has to end."""
    for number in range(3, 7):
        await configured_site.start_daemon(f"entry-{number}")
    await configured_site.wait_until(
        lambda: three_watch(configured_site), "three daemons watch", LIMIT_SECONDS
    )


async def three_watch(configured_site):
    return (await configured_site.get_json(f"{configured_site.key_value_url}/counts"))[
        "watching"
    ] == 3


async def test_operators_race_and_the_loser_sees_what_came_between(
    configured_site, tmp_path
):
    results = await asyncio.gather(
        *(
            configured_site.submit_sources(sources(tmp_path, number), 1)
            for number in range(4)
        )
    )
    codes = sorted(result.returncode for result in results)
    assert codes == [0, 3, 3, 3]
    for result in results:
        if result.returncode == 3:
            assert "came between: revision 2" in result.stdout
    history = await configured_site.run_cli("config", "history")
    assert history.stdout.count("revision ") == 2


async def test_lost_answers_of_the_accepting_write(configured_site, tmp_path):
    await configured_site.set_faults(configured_site.key_value_url, lose_answers=2)
    submitted = await configured_site.submit_sources(sources(tmp_path, 1), 1)
    assert submitted.returncode == 0, submitted.stderr
    await configured_site.wait_until(
        lambda: in_force(configured_site, 2), "revision 2", timeout=LIMIT_SECONDS
    )
    history = await configured_site.run_cli("config", "history")
    assert history.stdout.count("revision ") == 2


async def test_accepting_write_that_lands_late(configured_site, tmp_path):
    await configured_site.set_faults(
        configured_site.key_value_url, late_writes=2, late_seconds=0.4
    )
    submitted = await configured_site.submit_sources(sources(tmp_path, 1), 1)
    assert submitted.returncode == 0, submitted.stderr
    history = await configured_site.run_cli("config", "history")
    assert history.stdout.count("revision ") == 2


async def test_service_goes_down_right_after_the_acceptance(configured_site, tmp_path):
    """No watch and no read works any more; the tool has told some daemons."""
    for name in DAEMONS:
        configured_site.processes_by_name[name].deliver_signal(signal.SIGSTOP)
    submitting = asyncio.create_task(
        configured_site.submit_sources(sources(tmp_path, 1), 1)
    )
    await configured_site.wait_until(
        lambda: head_moved(configured_site), "the head is written"
    )
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    for name in DAEMONS:
        configured_site.processes_by_name[name].deliver_signal(signal.SIGCONT)
    assert (await submitting).returncode == 0
    await configured_site.wait_until(
        lambda: in_force(configured_site, 2), "revision 2", timeout=LIMIT_SECONDS
    )


async def head_moved(configured_site):
    values = await configured_site.get_json(f"{configured_site.key_value_url}/dump")
    bodies = [key for key in values if "/bodies/" in key]
    head = values.get("amaranthhollow/configuration/head", 0)
    return len(bodies) == 2 and head > max(values[body] for body in bodies)


async def test_daemon_started_in_an_outage_gets_it_from_a_peer(
    configured_site, tmp_path
):
    assert (
        await configured_site.submit_sources(sources(tmp_path, 1), 1)
    ).returncode == 0
    await configured_site.wait_until(lambda: in_force(configured_site, 2), "revision 2")
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    started_at = time.monotonic()
    await configured_site.start_daemon("entry-3")
    assert time.monotonic() - started_at < LIMIT_SECONDS + 3.0
    assert await revisions(configured_site, ["entry-3"]) == [2]


async def test_daemon_that_wakes_after_a_pause_catches_up(configured_site, tmp_path):
    process = configured_site.processes_by_name["entry-2"]
    process.deliver_signal(signal.SIGSTOP)
    assert (
        await configured_site.submit_sources(sources(tmp_path, 1), 1)
    ).returncode == 0
    assert (
        await configured_site.submit_sources(sources(tmp_path, 2), 2)
    ).returncode == 0
    await asyncio.sleep(5.0)
    process.deliver_signal(signal.SIGCONT)
    await configured_site.wait_until(
        lambda: in_force(configured_site, 3), "revision 3", timeout=LIMIT_SECONDS
    )
