"""Runs a site of daemons and stand-ins as separate processes on loopback."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from hashlib import sha256
from typing import TYPE_CHECKING, Any

import aiohttp
import yaml

from tests.processes import ROOT, start_python

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ["ADVISER_KEY", "COUNCIL_KEY", "Site", "write_example_configuration"]

ADVISER_KEY = "adviser-key"
COUNCIL_KEY = "council-key"
START_TIMEOUT_SECONDS = 15.0
STOP_TIMEOUT_SECONDS = 15.0
KEY_VALUE_PORT = 2379
CLOUD_PORT = 8500
ENGINE_PORT = 9000
SERVICE_PORT = 9100


@dataclass
class Process:
    name: str
    address: str
    popen: subprocess.Popen
    log_path: Path

    def deliver_signal(self, number: signal.Signals) -> None:
        self.popen.send_signal(number)

    def wait(self) -> int:
        return self.popen.wait(STOP_TIMEOUT_SECONDS)


@dataclass
class Site:
    """A site whose processes use one /24 loopback network."""

    folder: Path
    network: str
    processes_by_name: dict[str, Process] = field(default_factory=dict)
    hosts: list[dict[str, Any]] = field(default_factory=list)
    session: aiohttp.ClientSession | None = None
    _next_address: int = 10

    async def __aenter__(self) -> Site:
        self.session = aiohttp.ClientSession()
        self.key_value = self._start_standin("store", "key-value", KEY_VALUE_PORT)
        self.cloud = self._start_standin("cloud", "cloud", CLOUD_PORT)
        await self.wait_for_url(f"{self.key_value_url}/faults")
        await self.wait_for_url(f"{self.cloud_url}/faults")
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        for process in self.processes_by_name.values():
            if process.popen.poll() is None:
                process.deliver_signal(signal.SIGCONT)
                process.deliver_signal(signal.SIGKILL)
                process.popen.wait()

    @property
    def key_value_url(self) -> str:
        return f"http://{self.key_value.address}:{KEY_VALUE_PORT}"

    @property
    def cloud_url(self) -> str:
        return f"http://{self.cloud.address}:{CLOUD_PORT}"

    def url(self, name: str) -> str:
        """Return the base URL of a stand-in, or the callers' URL of a daemon."""
        process = self.processes_by_name[name]
        ports = {host["host"]: host["port"] for host in self.hosts}
        return f"http://{process.address}:{ports.get(name) or 8080}"

    def operator_url(self, name: str) -> str:
        return f"http://{self.processes_by_name[name].address}:8081"

    async def start_engine(
        self, name: str, data_centre: str = "dc-1", **options: Any
    ) -> Process:
        process = self._start_standin("engine", name, ENGINE_PORT, **options)
        await self.wait_for_url(f"http://{process.address}:{ENGINE_PORT}/load")
        await self.add_host(process, data_centre, "drafting", ENGINE_PORT)
        return process

    async def start_service(
        self, name: str, data_centre: str = "dc-1", **options: Any
    ) -> Process:
        process = self._start_standin("service", name, SERVICE_PORT, **options)
        await self.wait_for_url(f"http://{process.address}:{SERVICE_PORT}/log")
        await self.add_host(process, data_centre, "filings", SERVICE_PORT)
        return process

    async def start_daemon(
        self, name: str, data_centre: str = "dc-1", *, wait_until_ready: bool = True
    ) -> Process:
        address = self._allocate_address()
        settings = {
            "host": name,
            "data_centre": data_centre,
            "site": "example",
            "address": address,
            "key_value_service": self.key_value_url,
            "host_list": self.cloud_url,
        }
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        command = ["-m", "amaranthhollow.daemon", "--settings", str(path)]
        process = self._start_process(name, address, command)
        await self.add_host(process, data_centre)
        if wait_until_ready:
            await self.wait_for_url(f"http://{address}:8080/ready")
        return process

    async def add_host(
        self, process: Process, data_centre: str, deployment: str = "", port: int = 0
    ) -> None:
        self.hosts = [host for host in self.hosts if host["host"] != process.name]
        self.hosts.append(
            {
                "host": process.name,
                "incarnation": process.popen.pid,
                "address": process.address,
                "data_centre": data_centre,
                "role": "endpoint" if deployment else "entry",
                "deployment": deployment,
                "port": port,
            }
        )
        await self.publish_hosts()

    async def publish_hosts(self) -> None:
        url = f"{self.cloud_url}/v1/hosts"
        async with self.session.put(url, json=self.hosts) as response:
            response.raise_for_status()

    async def announce_reclaim(self, hosts: list[str], seconds: float) -> None:
        """Announce that the platform reclaims ``hosts`` after ``seconds``."""
        notice = {"hosts": hosts, "leaves_at": time.time() + seconds}
        async with self.session.post(
            f"{self.cloud_url}/v1/notices", json=notice
        ) as response:
            response.raise_for_status()

    async def set_faults(self, url: str, **values: Any) -> None:
        async with self.session.put(f"{url}/faults", json=values) as response:
            response.raise_for_status()

    async def get_json(self, url: str) -> Any:
        async with self.session.get(url) as response:
            return await response.json()

    async def daemon_state(self, name: str) -> dict[str, Any]:
        return await self.get_json(f"{self.operator_url(name)}/state")

    async def submit_sources(
        self, folder: Path, based_on: int
    ) -> subprocess.CompletedProcess:
        return await self.run_cli(
            "config", "submit", str(folder), "--on", str(based_on)
        )

    async def run_cli(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command-line tool and return its exit code and output."""
        settings = {
            "key_value_service": self.key_value_url,
            "host_list": self.cloud_url,
        }
        path = self.folder / "tool.yaml"
        path.write_text(yaml.safe_dump(settings))
        return await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "amaranthhollow.cli", *arguments],
            env={**os.environ, "AMARANTHHOLLOW_SETTINGS": str(path)},
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    async def wait_for_url(self, url: str) -> None:
        await self.wait_until(
            lambda: self._responds_ok(url), f"{url} responds with status 200"
        )

    async def wait_until(
        self, condition, description: str, timeout: float = START_TIMEOUT_SECONDS
    ):
        """Poll until ``await condition()`` is true, and return its value."""
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            value = await condition()
            if value:
                return value
            await asyncio.sleep(0.02)
        raise AssertionError(f"condition not met within {timeout} s: {description}")

    async def _responds_ok(self, url: str) -> bool:
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def _start_standin(
        self, module: str, name: str, port: int, **options: Any
    ) -> Process:
        address = self._allocate_address()
        command = ["-m", f"tests.standins.{module}", "--address", address]
        command += ["--port", str(port)]
        for key, value in options.items():
            flag = "--" + key.replace("_", "-")
            command += [flag] if value is True else [flag, str(value)]
        return self._start_process(name, address, command)

    def _start_process(self, name: str, address: str, command: list[str]) -> Process:
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as output:
            popen = start_python(command, output)
        process = Process(name, address, popen, log_path)
        self.processes_by_name[name] = process
        return process

    def _allocate_address(self) -> str:
        self._next_address += 1
        return f"{self.network}.{self._next_address}"


def write_example_configuration(folder: Path, **changes: Any) -> Path:
    """Write the example configuration to ``folder``, with ``changes`` in its base."""
    base = yaml.safe_load((ROOT / "examples" / "config" / "base.yaml").read_text())
    base["workspaces"] = {
        "advisers": _workspace(ADVISER_KEY),
        "councils": _workspace(COUNCIL_KEY),
    }
    base.update(changes)
    (folder / "sites").mkdir(parents=True, exist_ok=True)
    (folder / "base.yaml").write_text(yaml.safe_dump(base))
    (folder / "sites" / "example.yaml").write_text("{}\n")
    return folder


def _workspace(key: str) -> dict[str, Any]:
    digest = sha256(key.encode()).hexdigest()
    return {"key_sha256": digest, "requests_per_second": 2000}
