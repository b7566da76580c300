"""Stand-in for the platform's host list and cloud API.

Faults: ``down`` (the list gets status 503), ``lag_seconds`` (age of the returned list;
notices are always current), ``refuse_starts`` (host starts get status 409).
"""

from __future__ import annotations

import time

from aiohttp import web

from tests.standins.base import Faults, create_argument_parser, serve


class CloudStandIn:
    """Keeps every version of the host list, and returns one that lags behind."""

    def __init__(self) -> None:
        self.faults = Faults(down=False, lag_seconds=0.0, refuse_starts=False)
        self._snapshots: list[tuple[float, list[dict]]] = [(0.0, [])]
        self._notices_by_host: dict[str, dict] = {}
        self._started_hosts: list[dict] = []

    def build_app(self) -> web.Application:
        app = web.Application(client_max_size=4 << 20)
        app.router.add_get("/v1/hosts", self._list_hosts)
        app.router.add_put("/v1/hosts", self._replace_hosts)
        app.router.add_post("/v1/hosts", self._start_host)
        app.router.add_post("/v1/notices", self._announce_reclaim)
        return app

    async def _list_hosts(self, request: web.Request) -> web.Response:
        if self.faults["down"]:
            return web.json_response({"error": "unavailable"}, status=503)
        visible_at = time.time() - self.faults["lag_seconds"]
        as_of, hosts = next(s for s in reversed(self._snapshots) if s[0] <= visible_at)
        notices = list(self._notices_by_host.values())
        return web.json_response({"as_of": as_of, "hosts": hosts, "notices": notices})

    async def _replace_hosts(self, request: web.Request) -> web.Response:
        hosts = await request.json()
        self._snapshots.append((time.time(), hosts))
        return web.json_response({"hosts": len(hosts)})

    async def _start_host(self, request: web.Request) -> web.Response:
        requested_host = await request.json()
        if self.faults["refuse_starts"]:
            return web.json_response({"error": "no capacity"}, status=409)
        self._started_hosts.append(requested_host)
        return web.json_response(requested_host, status=202)

    async def _announce_reclaim(self, request: web.Request) -> web.Response:
        """Announce the reclaim of hosts: ``{"hosts": [...], "leaves_at": ...}``."""
        notice = await request.json()
        _, hosts = self._snapshots[-1]
        now = time.time()
        updated_hosts = []
        for host in hosts:
            if host["host"] in notice["hosts"]:
                host = {**host, "state": "leaving", "leaves_at": notice["leaves_at"]}
                self._notices_by_host[host["host"]] = host
            updated_hosts.append(host)
        self._snapshots.append((now, updated_hosts))
        return web.json_response({"noticed": sorted(self._notices_by_host)})


if __name__ == "__main__":
    options = create_argument_parser(__doc__).parse_args()
    standin = CloudStandIn()
    serve(standin.build_app, standin.faults, options.address, options.port)
