"""The ASGI application for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon
import falcon.asgi
import logbook

from amaranthhollow.decisions.retries import Outcome
from amaranthhollow.gateway.model_resource import (
    CompletionResource,
    ModelListResource,
)
from amaranthhollow.gateway.problems import (
    Problem,
    ProblemError,
    internal_error,
    write_problem,
)
from amaranthhollow.gateway.service_resource import PREFIX, ServiceSink
from amaranthhollow.gateway.stream_lookup import StreamLookup

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.live_streams import StreamRegistry

__all__ = ["HealthResource", "caller_app"]

log = logbook.Logger("gateway")


class HealthResource:
    """``GET /ready`` and ``GET /live``, for the load balancer."""

    def __init__(self, node: Node) -> None:
        """Report the state of the daemon's lifecycle."""
        self._node = node

    async def on_get_ready(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond with 200 while the daemon accepts new callers, else 503."""
        response.status = 200 if self._node.is_ready else 503
        response.media = {"state": self._node.lifecycle}

    async def on_get_live(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Respond with 200 as long as the event loop runs."""
        response.media = {"state": self._node.lifecycle}


class _OpenRequestCounter:
    """Counts open requests, and closes connections while the daemon drains."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def process_request(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self._node.open_requests += 1

    async def process_response(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        self._node.open_requests -= 1
        if self._node.lifecycle == "draining":
            response.set_header("Connection", "close")


def caller_app(node: Node, streams: StreamRegistry) -> falcon.asgi.App:
    """Return the application that serves callers and the load balancer."""
    app = falcon.asgi.App(middleware=[_OpenRequestCounter(node)])
    app.req_options.strip_url_path_trailing_slash = False
    lookup = StreamLookup(node, streams)
    chat = CompletionResource(node, streams, lookup, is_chat=True)
    text = CompletionResource(node, streams, lookup, is_chat=False)
    health = HealthResource(node)
    app.add_route("/v1/chat/completions", chat)
    app.add_route("/v1/completions", text)
    app.add_route("/v1/models", ModelListResource(node))
    app.add_route("/ready", health, suffix="ready")
    app.add_route("/live", health, suffix="live")
    app.add_sink(ServiceSink(node), prefix=PREFIX)
    app.add_error_handler(ProblemError, _on_problem)
    app.add_error_handler(falcon.HTTPError, _on_http_error)
    app.add_error_handler(Exception, _on_unhandled_error)
    return app


async def _on_problem(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: ProblemError,
    params: dict[str, str],
) -> None:
    write_problem(response, error.problem)


async def _on_http_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: falcon.HTTPError,
    params: dict[str, str],
) -> None:
    problem = Problem(
        status=error.status_code,
        kind="invalid-request",
        title=error.title or "The request is not valid",
        detail=error.description or f"{request.method} {request.path} is not served.",
        outcome=Outcome.NOT_RUN,
    )
    write_problem(response, problem)


async def _on_unhandled_error(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: Exception,
    params: dict[str, str],
) -> None:
    log.exception(
        "unhandled exception in {} {}; responding with status 500",
        request.method,
        request.path,
    )
    write_problem(response, internal_error(Outcome.UNKNOWN))
