"""Fault injection, command-line arguments and the HTTP server of the stand-ins."""

from __future__ import annotations

import argparse
import asyncio
import signal
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Faults", "create_argument_parser", "drop_connection", "serve"]


class Faults:
    """Named faults; ``PUT /faults`` changes some, ``GET /faults`` returns all."""

    def __init__(self, **defaults: Any) -> None:
        self._values = dict(defaults)

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def __setitem__(self, name: str, value: Any) -> None:
        self._values[name] = value

    def consume(self, name: str) -> bool:
        """Return whether a counted fault is due, and decrement its count."""
        if self._values[name] <= 0:
            return False
        self._values[name] -= 1
        return True

    async def handle_request(self, request: web.Request) -> web.Response:
        if request.method == "PUT":
            values = await request.json()
            unknown = set(values) - set(self._values)
            if unknown:
                return web.json_response({"unknown": sorted(unknown)}, status=400)
            self._values.update(values)
        return web.json_response(self._values)


def drop_connection(request: web.Request) -> web.Response:
    """Abort the connection instead of sending a response."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


def create_argument_parser(description: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    return parser


def serve(
    build_app: Callable[[], web.Application], faults: Faults, address: str, port: int
) -> None:
    """Serve the application until SIGTERM or SIGINT."""
    asyncio.run(_serve(build_app, faults, address, port))


async def _serve(
    build_app: Callable[[], web.Application], faults: Faults, address: str, port: int
) -> None:
    app = build_app()
    app.router.add_get("/faults", faults.handle_request)
    app.router.add_put("/faults", faults.handle_request)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, address, port, backlog=1024).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    await stopped.wait()
    await runner.cleanup()
