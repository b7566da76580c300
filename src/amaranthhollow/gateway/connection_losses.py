"""Reports lost connections as evidence against the requests that were running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from amaranthhollow.decisions.quarantine import EVIDENCE_DELAY_SECONDS

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.endpoints import Endpoint

__all__ = ["report_connection_loss"]


def report_connection_loss(
    node: Node, endpoint: Endpoint, request_digest: bytes
) -> float:
    """Report a connection that was lost while a request ran, unless by a reclaim.

    Return the seconds to wait before the request is retried; a final answer need not
    wait.
    """
    current = node.endpoints.get(endpoint.host)
    if current is None or current.is_reclaimed:
        return 0.0
    listed = endpoint.listed
    retry_at = node.quarantine.record_connection_loss(
        request_digest, listed.host, listed.incarnation, listed.data_centre, node.now()
    )
    asyncio.get_running_loop().call_later(
        EVIDENCE_DELAY_SECONDS, node.publish_crash_evidence
    )
    return max(0.0, retry_at - node.now())
