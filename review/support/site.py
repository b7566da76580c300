"""A small deployment on loopback: the platform, and entry hosts as processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

from review.support.http import send_request
from review.support.platform import Platform
from review.support.record import Record

if TYPE_CHECKING:
    import signal
    from collections.abc import Awaitable, Callable

__all__ = ["ROOT", "Site", "run_case"]

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, STORE, PEERS = 8221, 8224, 8225, 7600
START_SECONDS = 20.0
RUN_SECONDS = 112.0
# The platform starts a process that has ended again after a short delay.
RESTART_SECONDS = 0.5
BOUNDS = {
    "revoke_ms": 5000,
    "lease_ms": 3000,
    "grace_s": 8,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "budget_ratio": 0.2,
    "budget_slack": 56,
    "budget_window_s": 10,
    "quota_over": 0.1,
    "quota_window_s": 8,
    "quota_slack": 190000,
}
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)


@dataclass
class Site:
    """The platform's stand-in and the daemons of one run."""

    record: Record
    folder: Path
    network: str
    platform: Platform = field(init=False)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)

    async def start(self) -> None:
        """Start the platform."""
        self.platform = Platform(self.record)
        await self.platform.start(f"{self.network}.2", STORE)

    def add_host(self, name: str, number: int, zone: str = "qld-a") -> None:
        """Name a host, which is started later."""
        self.addresses[name] = f"{self.network}.{number}"
        address = self.addresses[name]
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": address,
            "listen": {"front": f"{address}:{FRONT}", "ready": f"{address}:{READY}"},
            "provider": {"address": f"{self.network}.2:{STORE}"},
            "cloud": {"address": f"{self.network}.2:{STORE}"},
            "internal_ports": [PEERS, PEERS + 15],
            "limits": {"max_fds": 4100},
            "bounds": BOUNDS,
        }
        for is_first in (True, False):
            text = _render({**fields, "bootstrap": is_first})
            self._settings_file(name, is_first=is_first).write_text(text)

    def start_host(self, name: str, *, is_first: bool = False) -> None:
        """Start the daemon of a host as the deploy file says."""
        role = _deploy_file()["roles"]["entry"]
        words = role["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "AMARANTHHOLLOW_NODE_FILE": str(
                self._settings_file(name, is_first=is_first)
            ),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"process of {name} starts")

    def read_log(self, name: str) -> str:
        """Return what the daemon of a host has written."""
        file = self.folder / f"{name}.log"
        return file.read_text(errors="replace") if file.exists() else ""

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the daemon of a host."""
        self.record.write(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    async def wait_ended(self, name: str) -> None:
        """Wait until the daemon of a host has ended."""
        while self.processes[name].poll() is None:
            await asyncio.sleep(0.02)
        self.record.write(f"process of {name} has ended")

    async def wait_ready(self, *names: str) -> None:
        """Wait until the daemons say that they are ready."""
        async with asyncio.timeout(START_SECONDS):
            for name in names:
                while not await self.is_ready(name):
                    await asyncio.sleep(0.05)
        self.record.write(f"ready: {', '.join(names)}")

    async def is_ready(self, name: str) -> bool:
        """Return whether a daemon says that it is ready."""
        head = "GET /ready HTTP/1.1\r\nHost: ready\r\n"
        answer = await send_request(self.addresses[name], READY, head, seconds=1.0)
        return answer.status == 200

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def _settings_file(self, name: str, *, is_first: bool) -> Path:
        return self.folder / f"{name}-{'first' if is_first else 'later'}.yaml"


def run_case(case: Path, play: Callable[[Site, bool], Awaitable[bool]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 on trouble.

    ``play`` gets the site and whether the disruption happens, and returns whether the
    rule held.
    """
    record = Record(case / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"{case.name}, {'with' if has_trouble else 'without'} the disruption")
    site = Site(record, folder, _free_network())
    code = 2
    try:
        code = 0 if asyncio.run(_play(site, play, has_trouble)) else 1
    except Exception as error:
        record.write(f"could not run: {error!r}")
        for name in site.processes:
            record.write(f"last lines of {name}: {site.read_log(name)[-1500:]}")
    finally:
        site.close()
        shutil.rmtree(folder, ignore_errors=True)
        record.write(f"exit {code}")
        record.close()
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code])
    sys.exit(code)


async def _play(
    site: Site, play: Callable[[Site, bool], Awaitable[bool]], has_trouble: bool
) -> bool:
    async with asyncio.timeout(RUN_SECONDS):
        await site.start()
        return await play(site, has_trouble)


def _deploy_file() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def _render(fields: dict) -> str:
    """Fill in the template of the settings that the deploy file names."""
    template = (ROOT / _deploy_file()["roles"]["entry"]["template"]).read_text()

    def fill_section(match: re.Match) -> str:
        value = _find(fields, match[1])
        return "" if value is None else match[2].replace("{{.}}", _text(value))

    text = SECTION.sub(fill_section, template)
    return PLACEHOLDER.sub(lambda match: _text(_find(fields, match[1])), text)


def _find(fields: dict, path: str) -> object:
    value: object = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
    return value


def _text(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)


def _free_network() -> str:
    """Return a /24 network of loopback at which the store's port is free."""
    for _ in range(100):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        with socket.socket() as probe, suppress(OSError):
            probe.bind((f"{network}.2", STORE))
            return network
    raise RuntimeError("no free network")
