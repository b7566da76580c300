"""An accepted configuration comes into force everywhere in time, and stays so."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from hypothesis import given, settings, strategies as st

from amaranthhollow.decisions.configuration import (
    AppliedConfiguration,
    HeadEntry,
    RevisionBody,
)
from tests.site import write_example_configuration

pytestmark = pytest.mark.invariant

PROPAGATION_LIMIT_SECONDS = 6.0
DAEMONS = ("entry-1", "entry-2")


def write_sources(tmp_path, number):
    """Write sources in which the retention identifies the submission."""
    retention = 7200 + number
    folder = tmp_path / f"sources-{number}"
    return write_example_configuration(folder, claim_retention_seconds=retention)


async def revisions(site, names=DAEMONS):
    states = [await site.daemon_state(name) for name in names]
    return [state["configuration"]["revision"] for state in states]


async def all_at_revision(site, revision, names=DAEMONS):
    return set(await revisions(site, names)) == {revision}


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(order=st.lists(st.integers(1, 8), max_size=30))
def test_revision_in_force_never_decreases(order):
    applied = AppliedConfiguration()
    body = RevisionBody(base={}, overlays_by_site={}, author="", note="", nonce="")
    for revision in order:
        entry = HeadEntry(revision, f"c{revision}", "", "", 0.0)
        after = applied.advanced_to(entry, body, "site")
        assert after.revision == max(applied.revision, revision)
        applied = after


async def test_accepted_change_comes_into_force_in_time(configured_site, tmp_path):
    submitted = await configured_site.submit_sources(write_sources(tmp_path, 1), 1)
    accepted_at = time.monotonic()
    assert submitted.returncode == 0
    await configured_site.wait_until(
        lambda: all_at_revision(configured_site, 2),
        "revision 2 is in force",
        timeout=PROPAGATION_LIMIT_SECONDS,
    )
    assert time.monotonic() - accepted_at < PROPAGATION_LIMIT_SECONDS


async def test_only_three_daemons_watch_the_key_value_service(configured_site):
    """Every daemon watches at start-up, until it has found the other members."""
    for number in range(3, 7):
        await configured_site.start_daemon(f"entry-{number}")
    await configured_site.wait_until(
        lambda: has_three_watchers(configured_site),
        "three daemons watch",
        PROPAGATION_LIMIT_SECONDS,
    )


async def has_three_watchers(configured_site):
    return (await configured_site.get_json(f"{configured_site.key_value_url}/counts"))[
        "watching"
    ] == 3


async def test_superseded_submissions_name_the_accepted_revision(
    configured_site, tmp_path
):
    results = await asyncio.gather(
        *(
            configured_site.submit_sources(write_sources(tmp_path, number), 1)
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


async def test_submission_is_accepted_once_if_write_answers_are_lost(
    configured_site, tmp_path
):
    await configured_site.set_faults(configured_site.key_value_url, lose_answers=2)
    submitted = await configured_site.submit_sources(write_sources(tmp_path, 1), 1)
    assert submitted.returncode == 0, submitted.stderr
    await configured_site.wait_until(
        lambda: all_at_revision(configured_site, 2),
        "revision 2 is in force",
        timeout=PROPAGATION_LIMIT_SECONDS,
    )
    history = await configured_site.run_cli("config", "history")
    assert history.stdout.count("revision ") == 2


async def test_submission_is_accepted_once_if_writes_are_late(
    configured_site, tmp_path
):
    await configured_site.set_faults(
        configured_site.key_value_url, late_writes=2, late_seconds=0.4
    )
    submitted = await configured_site.submit_sources(write_sources(tmp_path, 1), 1)
    assert submitted.returncode == 0, submitted.stderr
    history = await configured_site.run_cli("config", "history")
    assert history.stdout.count("revision ") == 2


async def test_outage_directly_after_acceptance(configured_site, tmp_path):
    """Daemons can neither watch nor read the revision; the tool notifies some."""
    for name in DAEMONS:
        configured_site.processes_by_name[name].deliver_signal(signal.SIGSTOP)
    submitting = asyncio.create_task(
        configured_site.submit_sources(write_sources(tmp_path, 1), 1)
    )
    await configured_site.wait_until(
        lambda: head_is_newest(configured_site), "the head is written"
    )
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    for name in DAEMONS:
        configured_site.processes_by_name[name].deliver_signal(signal.SIGCONT)
    assert (await submitting).returncode == 0
    await configured_site.wait_until(
        lambda: all_at_revision(configured_site, 2),
        "revision 2 is in force",
        timeout=PROPAGATION_LIMIT_SECONDS,
    )


async def head_is_newest(configured_site):
    values = await configured_site.get_json(f"{configured_site.key_value_url}/dump")
    bodies = [key for key in values if "/bodies/" in key]
    head = values.get("amaranthhollow/configuration/head", 0)
    return len(bodies) == 2 and head > max(values[body] for body in bodies)


async def test_daemon_started_in_an_outage_reads_it_from_a_peer(
    configured_site, tmp_path
):
    assert (
        await configured_site.submit_sources(write_sources(tmp_path, 1), 1)
    ).returncode == 0
    await configured_site.wait_until(
        lambda: all_at_revision(configured_site, 2), "revision 2 is in force"
    )
    await configured_site.set_faults(configured_site.key_value_url, down=True)
    started_at = time.monotonic()
    await configured_site.start_daemon("entry-3")
    assert time.monotonic() - started_at < PROPAGATION_LIMIT_SECONDS + 3.0
    assert await revisions(configured_site, ["entry-3"]) == [2]


async def test_resumed_daemon_applies_missed_revisions(configured_site, tmp_path):
    process = configured_site.processes_by_name["entry-2"]
    process.deliver_signal(signal.SIGSTOP)
    assert (
        await configured_site.submit_sources(write_sources(tmp_path, 1), 1)
    ).returncode == 0
    assert (
        await configured_site.submit_sources(write_sources(tmp_path, 2), 2)
    ).returncode == 0
    await asyncio.sleep(5.0)
    process.deliver_signal(signal.SIGCONT)
    await configured_site.wait_until(
        lambda: all_at_revision(configured_site, 3),
        "revision 3 is in force",
        timeout=PROPAGATION_LIMIT_SECONDS,
    )
