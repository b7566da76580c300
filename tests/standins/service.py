"""Stand-in for a service that logs every run.

Faults: ``delay_seconds`` (before the run), ``delay_after_seconds`` (after it),
``crash_before`` and ``crash_after`` (the number of calls whose connection is aborted
before or after the run), ``status`` (of the response to a run).
"""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from tests.standins.base import Faults, create_argument_parser, drop_connection, serve


class ServiceStandIn:
    """Runs calls, and logs each run."""

    def __init__(self, name: str, checks_deadline: bool) -> None:
        self.faults = Faults(
            delay_seconds=0.0,
            delay_after_seconds=0.0,
            crash_before=0,
            crash_after=0,
            status=201,
        )
        self._name = name
        self._checks_deadline = checks_deadline
        self._runs: list[dict] = []

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=4 << 20)
        app.router.add_get("/log", self._list_runs)
        app.router.add_route("*", "/{path:.*}", self._run_call)
        return app

    async def _list_runs(self, request: web.Request) -> web.Response:
        return web.json_response(self._runs)

    async def _run_call(self, request: web.Request) -> web.Response:
        body = await request.text()
        await asyncio.sleep(self.faults["delay_seconds"])
        if self.faults.consume("crash_before"):
            drop_connection(request)
        deadline = float(request.headers.get("X-Request-Deadline", "inf"))
        if self._checks_deadline and time.time() > deadline:
            return web.json_response({"error": "deadline passed"}, status=408)
        run = {
            "run": len(self._runs) + 1,
            "service": self._name,
            "method": request.method,
            "path": request.path,
            "query": request.query_string,
            "key": request.headers.get("Idempotency-Key"),
            "body": body,
            "at": time.time(),
        }
        self._runs.append(run)
        await asyncio.sleep(self.faults["delay_after_seconds"])
        if self.faults.consume("crash_after"):
            drop_connection(request)
        return web.json_response(run, status=self.faults["status"])


if __name__ == "__main__":
    parser = create_argument_parser(__doc__)
    parser.add_argument("--name", default="service")
    parser.add_argument("--checks-deadline", action="store_true")
    options = parser.parse_args()
    standin = ServiceStandIn(options.name, options.checks_deadline)
    serve(standin.build_app, standin.faults, options.address, options.port)
