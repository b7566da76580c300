"""Divides the descriptors of a process among those who open connections."""

from __future__ import annotations

import resource
from dataclasses import dataclass

__all__ = ["DescriptorBudget", "descriptor_budget"]

# Files, listening sockets, the store, the cloud API, documents of peers, metrics and
# health checks, and second connections while a dial is repeated through a peer.
RESERVED_DESCRIPTORS = 400
MAX_RESERVED_RATIO = 0.5
# Each request may hold a connection to an endpoint beside a kept one, and each relayed
# connection is one from a peer and one to an endpoint.
CALLER_RATIO, REQUEST_RATIO, RELAYED_RATIO = 0.4, 0.2, 0.1
# Metrics, health checks and documents of peers each take as much of what is reserved.
INTERNAL_RATIO = 1 / 6


@dataclass(frozen=True)
class DescriptorBudget:
    """How many connections of callers, requests in progress and relayed connections.

    All of them together leave the descriptors that the host needs for itself. Each of
    its own interfaces accepts up to ``internal_connections`` of these.
    """

    caller_connections: int
    requests: int
    relayed_connections: int
    internal_connections: int


def descriptor_budget(max_descriptors: int | None = None) -> DescriptorBudget:
    """Return what fits in a limit, by default that of this process.

    Example::

        descriptor_budget(4100).caller_connections  # 1480
    """
    if max_descriptors is None:
        max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    reserved = min(RESERVED_DESCRIPTORS, int(max_descriptors * MAX_RESERVED_RATIO))
    sockets = max_descriptors - reserved
    return DescriptorBudget(
        max(1, int(sockets * CALLER_RATIO)),
        max(1, int(sockets * REQUEST_RATIO)),
        max(1, int(sockets * RELAYED_RATIO)),
        max(1, int(reserved * INTERNAL_RATIO)),
    )
