"""Data model of a site's configuration: deployments, workspaces and bounds."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, StringConstraints
from pydantic.dataclasses import dataclass

from amaranthhollow.settings.model import Name

__all__ = [
    "Configuration",
    "ModelDeployment",
    "NonIdempotentCall",
    "RequestBounds",
    "ServiceDeployment",
    "Workspace",
]

Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
UrlPath = Annotated[str, StringConstraints(pattern=r"^/")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
PositiveFloat = Annotated[float, Field(gt=0)]
PositiveInt = Annotated[int, Field(gt=0)]

_STRICT = {"extra": "forbid"}


@dataclass(frozen=True, config=_STRICT)
class NonIdempotentCall:
    """A method and path prefix whose calls to a service run at most once."""

    method: Method
    path: UrlPath


@dataclass(frozen=True, config=_STRICT)
class ModelDeployment:
    """Endpoints that serve one model.

    ``slots`` is the number of requests that one endpoint runs at once;
    ``version`` is the version of the model that engines are ordered to serve.
    ``checks_fencing_token`` is true if the engines reject orders with an outdated
    fencing token.
    """

    kind: Literal["model"]
    model: str
    version: str = "1"
    slots: PositiveInt = 8
    checks_fencing_token: bool = False


@dataclass(frozen=True, config=_STRICT)
class ServiceDeployment:
    """Endpoints that serve one service without a model."""

    kind: Literal["service"]
    slots: PositiveInt = 64
    non_idempotent: tuple[NonIdempotentCall, ...] = ()

    def is_non_idempotent(self, method: str, path: str) -> bool:
        """Return whether the call must run at most once.

        A path matches its prefix at a segment boundary: ``/filings`` covers
        ``/filings/7`` but not ``/filings-archive``.
        """
        return any(
            call.method == method and _matches_prefix(call.path, path)
            for call in self.non_idempotent
        )


Deployment = Annotated[ModelDeployment | ServiceDeployment, Field(discriminator="kind")]


@dataclass(frozen=True, config=_STRICT)
class Workspace:
    """A group of callers with its own API key and request budget.

    The key itself is never stored; ``key_sha256`` is its SHA-256 digest in hex.
    """

    key_sha256: Sha256
    weight: PositiveFloat = 1.0
    requests_per_second: PositiveFloat = 100.0


@dataclass(frozen=True, config=_STRICT)
class RequestBounds:
    """Bounds on one request."""

    max_body_bytes: PositiveInt = 1_048_576
    max_tokens: PositiveInt = 4096
    default_timeout_seconds: PositiveFloat = 60.0
    max_timeout_seconds: PositiveFloat = 600.0


@dataclass(frozen=True, config=_STRICT)
class Configuration:
    """The configuration of one site, with its overlay merged into the base."""

    deployments: dict[Name, Deployment] = Field(default_factory=dict)
    workspaces: dict[Name, Workspace] = Field(default_factory=dict)
    requests: RequestBounds = Field(default_factory=RequestBounds)
    claim_retention_seconds: Annotated[float, Field(ge=3600)] = 86_400.0

    def slots_of(self, name: str) -> int:
        """Return how many requests one endpoint of a deployment runs at once.

        An unknown deployment counts as having one slot.
        """
        deployment = self.deployments.get(name)
        return deployment.slots if deployment is not None else 1

    def deployment_of_model(self, model: str) -> str | None:
        """Return the name of the deployment that serves ``model``."""
        for name, deployment in self.deployments.items():
            if isinstance(deployment, ModelDeployment) and deployment.model == model:
                return name
        return None


def _matches_prefix(prefix: str, path: str) -> bool:
    stem = prefix.rstrip("/")
    return path == prefix or path.rstrip("/") == stem or path.startswith(f"{stem}/")
