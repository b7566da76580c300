"""Starts the project's program as the deploy file says, on loopback addresses."""

from __future__ import annotations

import asyncio
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http11 import Response, read_response
from platform_standins import Cloud, Store

__all__ = [
    "API_KEY",
    "FRONT_PORT",
    "HOSTNAME",
    "Record",
    "Site",
    "ordinary_request",
    "send",
]

ROOT = Path(__file__).resolve().parent.parent.parent
API_KEY = "i9n73hh2b9wu3fexd9dn"
HOSTNAME = "ficu95.example"
FRONT_PORT, READY_PORT, METRICS_PORT = 8221, 8224, 9464
PLATFORM_PORT, CLOUD_PORT, SERVER_PORT = 8225, 8226, 8080
INTERNAL_PORTS = (7600, 7615)
# The sheet of the small deployment cras-forecast (SYSTEM.md, DEPLOY.md).
FIELDS = {
    "bounds.revoke_ms": 5000,
    "bounds.lease_ms": 3000,
    "bounds.grace_s": 8,
    "bounds.usage_window_s": 5,
    "bounds.usage_late_s": 10,
    "bounds.budget_ratio": 0.2,
    "bounds.budget_slack": 56,
    "bounds.budget_window_s": 10,
    "bounds.quota_over": 0.1,
    "bounds.quota_window_s": 8,
    "bounds.quota_slack": 190000,
    "limits.max_fds": 4100,
    "limits.memory_mb": 300,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in a template, as far as DEPLOY.md describes it and the project uses it."""

    def section(match: re.Match[str]) -> str:
        value = fields.get(match[1])
        if value is None or value is False:
            return ""
        return match[2].replace("{{.}}", str(value))

    def placeholder(match: re.Match[str]) -> str:
        value = fields.get(match[1])
        if isinstance(value, bool):
            return str(value).lower()
        return "" if value is None else str(value)

    return PLACEHOLDER.sub(placeholder, SECTION.sub(section, template))


class Record:
    """Writes what happened to ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record in the folder of a case."""
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.time()

    def __call__(self, text: str) -> None:
        """Write one line, there and to the standard output."""
        line = f"{time.time() - self._started_at:7.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def _free_network() -> str:
    """Return the prefix of a loopback network on which the ports are free."""
    for _ in range(200):
        network = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        try:
            for number, port in (
                (2, PLATFORM_PORT),
                (21, FRONT_PORT),
                (21, METRICS_PORT),
                (11, SERVER_PORT),
            ):
                with socket.socket() as sock:
                    sock.bind((f"{network}.{number}", port))
        except OSError:
            continue
        return network
    raise OSError("no free network")


class Site:
    """A store, a cloud API and hosts of the system on one loopback network."""

    def __init__(self) -> None:
        """Choose a network and a temporary folder; start nothing.

        A script that is told to end ends its processes as well.
        """
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.network = _free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.cloud = Cloud()
        self.processes: dict[str, subprocess.Popen] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._role = deploy["roles"]["entry"]
        self._template = (ROOT / self._role["template"]).read_text()

    @property
    def platform(self) -> str:
        """The address of the store and of the cloud API."""
        return f"{self.network}.2"

    async def start(self) -> None:
        """Start the platform."""
        await self.store.start(self.platform, PLATFORM_PORT)
        await self.cloud.start(self.platform, CLOUD_PORT)

    def add_server(self, server_id: str, address: str, **fields: object) -> None:
        """Write the entry of a server."""
        entry = {
            "backend": "forecast-ledger",
            "address": f"{address}:{SERVER_PORT}",
            "zone": "qld-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self.store.put_json(f"servers/{server_id}", {**entry, **fields})

    def configure(self, version: int = 1, **changes: object) -> None:
        """Write a configuration with one route of each kind."""
        document = {
            "version": version,
            "routes": [
                route("lookup", "/lookup/", "idempotent", 1000, max_attempts=2),
                route("filing", "/filing/", "non_idempotent", 1000),
                route("stream", "/stream/", "streaming", 10000, 2, True),
            ],
            "services": [
                {
                    "name": "forecast-ledger",
                    "health_path": "/health",
                    "max_connections": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
            ],
            "limits": LIMITS,
            "tenants": [{"name": "hule930", "api_keys": [API_KEY]}],
        }
        self.store.put_json("op/config", {**document, **changes})

    def start_host(
        self, name: str, number: int, *, is_first_start: bool = True, **fields: object
    ) -> str:
        """Start a host by the command of the deploy file, and return its address."""
        address = f"{self.network}.{number}"
        values = {
            "node_name": name,
            "zone": "qld-a",
            "ip": address,
            "listen.front": f"{address}:{FRONT_PORT}",
            "listen.ready": f"{address}:{READY_PORT}",
            "provider.address": f"{self.platform}:{PLATFORM_PORT}",
            "cloud.address": f"{self.platform}:{CLOUD_PORT}",
            "internal_ports.0": INTERNAL_PORTS[0],
            "internal_ports.1": INTERNAL_PORTS[1],
            "bootstrap": is_first_start,
            **FIELDS,
            **fields,
        }
        settings = self.folder / f"{name}.settings"
        settings.write_text(render(self._template, values))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["AMARANTHHOLLOW_NODE_FILE"] = str(settings)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                self._role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        return address

    def log_text(self, name: str) -> str:
        """Return what a host has logged."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    async def is_ready(self, address: str) -> bool:
        """Return what the platform's question of readiness gets."""
        try:
            async with asyncio.timeout(1):
                response = await send(
                    address, READY_PORT, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return response.status == 200

    async def wait_ready(self, address: str, seconds: float = 20.0) -> bool:
        """Return whether a host says it is ready in time."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self.is_ready(address):
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a host that this script started."""
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(
    name: str,
    prefix: str,
    kind: str,
    timeout_ms: int,
    max_attempts: int = 1,
    may_resume: bool = False,
) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "priority": 1,
        "backend": "forecast-ledger",
        "max_attempts": max_attempts,
        "public": False,
        "session_affinity": False,
        "stream_resume": may_resume,
        "gap_aim_ms": 500,
    }


def ordinary_request(
    request_id: str,
    path: str = "/lookup/1",
    *,
    method: str = "GET",
    deadline_ms: int = 1000,
    headers: str = "",
    body: bytes = b"",
) -> bytes:
    """Return an encoded request of an ordinary caller."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\n"
        f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Authorization: Bearer {API_KEY}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def send(address: str, port: int, data: bytes) -> Response:
    """Send a request on a new connection and return the response."""
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(data)
        return await read_response(reader)
    finally:
        writer.close()
