"""What the daemon of an entry host loads before it accepts its first request."""

from __future__ import annotations

import subprocess
import sys

import pytest

LIST_MODULES = "import sys, amaranthhollow.entry.command; print(*sys.modules)"
# Each takes tens of milliseconds to load, on hosts that have a fraction of a core.
SLOW_MODULES = (
    "aiohttp",
    "capnp",
    "click",
    "email",
    "falcon",
    "http.client",
    "http.server",
    "importlib.resources",
    "prometheus_client",
    "pydantic",
    "statsd",
    "urllib.request",
    "uvicorn",
    "yaml",
)
MAX_MODULES = 300


@pytest.fixture(scope="module")
def loaded_modules():
    """The names of all modules that the daemon loads at its start."""
    command = [sys.executable, "-S", "-c", LIST_MODULES]
    paths = {"PYTHONPATH": ":".join(sys.path)}
    output = subprocess.run(
        command, capture_output=True, check=True, text=True, env=paths
    )
    return set(output.stdout.split())


# A host took two seconds to start after the loss of all hosts.
@pytest.mark.parametrize("name", SLOW_MODULES)
def test_start_does_not_load_what_requests_do_not_need(loaded_modules, name):
    assert name not in loaded_modules


def test_start_loads_a_bounded_number_of_modules(loaded_modules):
    assert "amaranthhollow.entry.service" in loaded_modules
    assert len(loaded_modules) < MAX_MODULES
