"""Logs the request rates to which endpoints limit all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.serving.request import ResponseInfo

__all__ = ["EndpointLimits"]

log = logbook.Logger("limits")


class EndpointLimits:
    """The limits that endpoints state in their responses to this host."""

    def __init__(self) -> None:
        """Start without limits."""
        self._rate_by_endpoint: dict[str, float] = {}

    def observe_response(
        self, endpoint: Endpoint, response: ResponseInfo, sent_at: float
    ) -> None:
        """Record the limit that a response states, to a request of ``sent_at``."""
        previous = self._rate_by_endpoint.get(endpoint.host)
        rate = response.rate_limit
        if rate == previous:
            return
        if rate is None:
            del self._rate_by_endpoint[endpoint.host]
        else:
            self._rate_by_endpoint[endpoint.host] = rate
        log.info(
            "endpoint limit changed",
            extra={"endpoint": endpoint.host, "rate": rate, "previous": previous},
        )
