"""Forwards requests under ``/services`` to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.configuration.model import ServiceDeployment
from amaranthhollow.endpoints.service import ServiceCall
from amaranthhollow.gateway.admission import admit
from amaranthhollow.gateway.lifecycle import RequestLifecycle
from amaranthhollow.gateway.problems import ProblemError, invalid_request
from amaranthhollow.gateway.requests import (
    configuration_in_force,
    idempotency_key,
    read_body,
    request_deadline,
    workspace_of,
)
from amaranthhollow.gateway.service_calls import (
    ServiceRequest,
    call_at_most_once,
    call_idempotent,
)

if TYPE_CHECKING:
    import falcon.asgi

    from amaranthhollow.configuration.model import Configuration
    from amaranthhollow.daemon.node import Node

__all__ = ["PREFIX", "ServiceSink"]

PREFIX = "/services/"
FORWARDED_HEADERS = ("Accept", "Accept-Language", "Content-Type", "User-Agent")
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


class ServiceSink:
    """Handles any path, query and body under ``/services/<service>/``."""

    def __init__(self, node: Node) -> None:
        """Serve the services of the configuration in force."""
        self._node = node

    async def __call__(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        **_: str,
    ) -> None:
        """Forward a call to an endpoint of its service."""
        configuration = configuration_in_force(self._node.applied)
        service_request = await self._read(request, configuration)
        is_at_most_once = _requires_at_most_once(
            request, service_request, configuration
        )
        lifecycle = RequestLifecycle(
            self._node, service_request.workspace, service_request.deployment
        )
        admit(self._node, lifecycle, configuration)
        try:
            call = call_at_most_once if is_at_most_once else call_idempotent
            answer = await call(self._node, service_request, lifecycle)
        except ProblemError as error:
            lifecycle.end(error.problem.outcome)
            raise
        response.status = answer.status
        response.content_type = answer.content_type or None
        response.data = answer.body

    async def _read(
        self, request: falcon.asgi.Request, configuration: Configuration
    ) -> ServiceRequest:
        """Read and validate a call; the service must exist."""
        workspace = workspace_of(request, configuration)
        name, _ = _split_path(request.path)
        if not isinstance(configuration.deployments.get(name), ServiceDeployment):
            raise invalid_request(
                "service", f"The service {name!r} does not exist.", 404
            )
        if request.method not in METHODS:
            detail = f"The method {request.method!r} is not passed on."
            raise invalid_request("method", detail, 405)
        body = await read_body(request, configuration.requests)
        deadline = request_deadline(request, configuration.requests, self._node.now())
        raw_path = request.scope.get("raw_path", request.path.encode())
        call = ServiceCall(
            method=request.method,
            path=_split_path(raw_path.decode("latin-1"))[1],
            query=request.query_string,
            headers=_forwarded_headers(request, deadline),
            body=body,
            deadline=deadline,
        )
        return ServiceRequest(workspace, name, call, idempotency_key(request))


def _requires_at_most_once(
    request: falcon.asgi.Request,
    service_request: ServiceRequest,
    configuration: Configuration,
) -> bool:
    """Return whether the call must run at most once; it then needs a key."""
    deployment = configuration.deployments[service_request.deployment]
    path = _split_path(request.path)[1]
    if not deployment.is_non_idempotent(request.method, path):
        return False
    if service_request.idempotency_key is None:
        detail = f"{request.method} {path} needs an Idempotency-Key header."
        raise invalid_request("Idempotency-Key", detail)
    return True


def _split_path(path: str) -> tuple[str, str]:
    """Split ``/services/filings/v1/x`` into ``filings`` and ``/v1/x``."""
    name, _, rest = path.removeprefix(PREFIX).partition("/")
    return name, f"/{rest}"


def _forwarded_headers(request: falcon.asgi.Request, deadline: float) -> dict[str, str]:
    headers = {"X-Request-Deadline": f"{deadline:.3f}"}
    for name in (*FORWARDED_HEADERS, "Idempotency-Key"):
        value = request.get_header(name)
        if value is not None:
            headers[name] = value
    return headers
