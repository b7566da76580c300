"""Notes lost connections as evidence against the requests that were running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node
    from amaranthhollow.decisions.endpoints import Endpoint

__all__ = ["note_loss"]


def note_loss(node: Node, endpoint: Endpoint, request_digest: bytes) -> float:
    """Note that a connection was lost while a request ran; returns seconds to wait.

    Whether the loss counts against the request is known after that time. A request
    that is tried again must wait for it; a final answer need not.
    """
    current = node.endpoints.get(endpoint.host)
    if current is None or current.is_reclaimed:
        return 0.0
    listed = endpoint.listed
    settles_at = node.quarantine.connection_lost(
        request_digest, listed.host, listed.incarnation, listed.data_centre, node.now()
    )
    delay = max(0.0, settles_at - node.now())
    asyncio.get_running_loop().call_later(delay, node.settle_losses)
    return delay
