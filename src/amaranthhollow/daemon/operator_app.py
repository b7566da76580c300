"""The HTTP application for operators: state dump and drain."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon.asgi

from amaranthhollow.daemon.state_dump import dump_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.live_streams import StreamRegistry

__all__ = ["operator_app"]


class _StateResource:
    """``GET /state``."""

    def __init__(self, node: Node, streams: StreamRegistry) -> None:
        self._node = node
        self._streams = streams

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Answer with the dump."""
        response.content_type = "application/json"
        response.data = dump_state(self._node, self._streams)


class _DrainResource:
    """``POST /drain``."""

    def __init__(self, drain: Callable[[], None]) -> None:
        self._drain = drain

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Begin a graceful shutdown."""
        self._drain()
        response.status = 202
        response.media = {"state": "draining"}


def operator_app(
    node: Node, streams: StreamRegistry, drain: Callable[[], None]
) -> falcon.asgi.App:
    """Build the application that operators' tools talk to."""
    app = falcon.asgi.App()
    app.add_route("/state", _StateResource(node, streams))
    app.add_route("/drain", _DrainResource(drain))
    return app
