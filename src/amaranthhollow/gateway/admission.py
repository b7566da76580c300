"""Admission control: request quotas of workspaces and fair shares of deployments."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.limits import Capacity, Reject
from amaranthhollow.decisions.quota import HostCounts
from amaranthhollow.decisions.retries import Outcome
from amaranthhollow.decisions.site import Quota
from amaranthhollow.gateway.problems import Problem, ProblemError

if TYPE_CHECKING:
    from amaranthhollow.configuration.model import Configuration
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.gateway.lifecycle import RequestLifecycle

__all__ = ["admit"]


def admit(
    node: Node, lifecycle: RequestLifecycle, configuration: Configuration
) -> None:
    """Admit a request, or reject it immediately with a Retry-After.

    ``configuration`` is the one that the request was checked against; a newer one may
    be in force by now. A rejection ends the lifecycle and raises a ProblemError.
    """
    workspace = configuration.workspaces[lifecycle.workspace]
    quota = Quota.of_requests(workspace.requests_per_second)
    hosts = HostCounts(total=node.host_count)
    decision = node.quotas.admit(lifecycle.workspace, quota, 1.0, hosts, node.now())
    if isinstance(decision, Reject):
        node.counters.increment("requests.refused_by_limit")
        detail = f"The workspace {lifecycle.workspace!r} sends more than its rate."
        raise _rejection_error(node, lifecycle, decision, 429, "over-budget", detail)
    decision = node.fair_share(lifecycle.deployment).admit(
        lifecycle.workspace,
        {name: w.weight for name, w in configuration.workspaces.items()},
        _capacity(node, lifecycle.deployment),
        node.now(),
    )
    if isinstance(decision, Reject):
        node.counters.increment("requests.refused_by_share")
        detail = f"The deployment {lifecycle.deployment!r} is busy."
        raise _rejection_error(node, lifecycle, decision, 503, "busy", detail)
    lifecycle.advance("admit")
    node.counters.increment("requests.admitted")
    node.retry_budget(lifecycle.deployment).record_request(node.now())


def _capacity(node: Node, deployment: str) -> Capacity:
    usable = node.usable_endpoints(deployment)
    return Capacity(
        slots=sum(endpoint.listed.slots for endpoint in usable),
        running=sum(node.chooser.load(e.host).requests for e in usable),
        daemons=node.host_count,
    )


def _rejection_error(
    node: Node,
    lifecycle: RequestLifecycle,
    rejection: Reject,
    status: int,
    kind: str,
    detail: str,
) -> ProblemError:
    lifecycle.end(Outcome.NOT_RUN)
    return ProblemError(
        Problem(
            status=status,
            kind=kind,
            title="The request is refused for now",
            detail=detail,
            outcome=Outcome.NOT_RUN,
            retry_after_seconds=node.retry_after_seconds(
                rejection.retry_at - node.now()
            ),
        )
    )
