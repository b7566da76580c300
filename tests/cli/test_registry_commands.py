"""The command ``hosts``, with entry hosts of this version and of earlier ones."""

from __future__ import annotations

import asyncio
import json

import pytest
from click.testing import CliRunner

from amaranthhollow.cli.main import main
from tests.compatibility.earlier_build import extract_source
from tests.entry.entry_site import METRICS_PORT, STORE_PORT, EntrySite
from tests.networks import next_network

# Hosts of this version state no build in their entries.
WITHOUT_BUILD = "ed1397e"


@pytest.fixture
async def site(tmp_path):
    site = EntrySite(tmp_path, next_network())
    await site.start()
    site.configure()
    yield site
    await site.close()


async def run_command(*arguments):
    return await asyncio.to_thread(CliRunner().invoke, main, arguments)


async def test_hosts_of_several_versions_are_listed(site, tmp_path):
    source = extract_source(WITHOUT_BUILD, tmp_path / "earlier")
    for name, number, version in (("host-1", 21, None), ("host-2", 22, source)):
        await site.wait_ready(site.start_daemon(name, number, source=version))
    async with asyncio.timeout(10.0):
        while "amaranthhollow/hosts/host-2" not in site.store.items:
            await asyncio.sleep(0.05)
    store = f"{site.store_address}:{STORE_PORT}"
    found = await run_command("hosts", "--store", store, "--json")
    text = await run_command("hosts", "--store", store)

    assert json.loads(found.output)["hosts"] == [
        {
            "host": "host-1",
            "data_centre": "dc-1",
            "address": f"{site.network}.21",
            "build": "unnamed",
            "protocol": 2,
        },
        {
            "host": "host-2",
            "data_centre": "dc-1",
            "address": f"{site.network}.22",
            "build": "earlier",
            "protocol": None,
        },
    ]
    assert [line.split()[-1] for line in text.output.splitlines()] == ["2", "earlier"]


async def test_unreadable_entry_is_named(site):
    site.store.put("amaranthhollow/hosts/host-1", b"\xc1")
    store = f"{site.store_address}:{STORE_PORT}"
    found = await run_command("hosts", "--store", store)

    assert "amaranthhollow/hosts/host-1" in found.stderr
    assert found.exit_code == 0


@pytest.mark.parametrize("store", ["localhost:80", "127.0.0.1", "127.0.0.1:x"])
async def test_store_has_to_be_an_address_and_a_port(store):
    found = await run_command("hosts", "--store", store)

    assert found.exit_code == 2
    assert "IP address and a port" in found.stderr


async def test_store_that_does_not_respond_fails_the_command(site):
    site.store.faults["down"] = True
    found = await run_command("hosts", "--store", f"{site.store_address}:{STORE_PORT}")

    assert found.exit_code == 1
    assert "status 503" in found.stderr


async def test_start_line_and_metric_name_the_build(site):
    address = site.start_daemon("host-1", 21)
    await site.wait_ready(address)
    started = json.loads(site.read_log("host-1").splitlines()[0])
    request = b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"
    response = await site.send_bytes(address, METRICS_PORT, request)

    assert (started["build"], started["protocol"]) == ("unnamed", 2)
    assert b'amaranthhollow_build_info{build="unnamed"} 1.0' in response.body
