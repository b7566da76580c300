"""The HTTP application for operators: state dump, drain and new revisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon
import falcon.asgi
import msgspec

from amaranthhollow.daemon.state_dump import dump_state
from amaranthhollow.decisions.configuration import AcceptedRevision

if TYPE_CHECKING:
    from collections.abc import Callable

    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.configuration import HeadEntry
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
        """Respond with the state dump."""
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


class _RevisionResource:
    """``POST /revision``: receives an accepted revision, with its body."""

    def __init__(self, receive_revision: Callable[[HeadEntry, bytes], bool]) -> None:
        self._receive_revision = receive_revision

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Apply the revision to this daemon and publish it to peers by gossip."""
        try:
            revision = msgspec.json.decode(
                await request.stream.read(), type=AcceptedRevision
            )
        except msgspec.MsgspecError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        if not self._receive_revision(revision.entry, revision.body):
            description = "the body is not that of the revision"
            raise falcon.HTTPBadRequest(description=description)
        response.status = 202


def operator_app(
    node: Node,
    streams: StreamRegistry,
    drain: Callable[[], None],
    receive_revision: Callable[[HeadEntry, bytes], bool],
) -> falcon.asgi.App:
    """Build the application that serves the operators' tool."""
    app = falcon.asgi.App()
    app.add_route("/state", _StateResource(node, streams))
    app.add_route("/drain", _DrainResource(drain))
    app.add_route("/revision", _RevisionResource(receive_revision))
    return app
