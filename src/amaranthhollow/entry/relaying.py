"""Decides what one host relays to endpoints on behalf of its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.platform.endpoints import (
    decode_response_head,
    encode_rejection,
    find_identifier,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.endpoint_statements import StatementLimits
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.messages import Header, ResponseHead

__all__ = ["Relaying"]


class Relaying:
    """Keeps to what endpoints have said to this host, in relayed responses as well.

    The peer has chosen the endpoint by what it knows itself, and counts the request
    among its own.
    """

    def __init__(self, host: Host, statements: StatementLimits) -> None:
        """Relay as ``host`` may."""
        self._host = host
        self._statements = statements

    def is_endpoint(self, target: str) -> bool:
        """Return whether an endpoint listens at ``ADDRESS:PORT``."""
        return self._host.site.endpoints.at_address(target) is not None

    def can_reach(self, target: str) -> bool:
        """Return whether this host may reach an endpoint, and goes on running."""
        return self._host.can_relay_to(target)

    def find_identifier(self, headers: tuple[Header, ...]) -> bytes | None:
        """Return the identifier that a request states and its response repeats."""
        return find_identifier(headers)

    def rejection(self, target: str, identifier: bytes | None) -> bytes | None:
        """Return the response to a request that this host may not send, or None.

        It does not repeat that the endpoint leaves, since the peer may know of another
        one that has the address by now.
        """
        endpoint = self._host.site.endpoints.at_address(target)
        if endpoint is None:
            return None
        if endpoint.is_reclaimed or self._statements.is_leaving(endpoint):
            self._host.metrics.relay_rejections.increment("leaving")
            return encode_rejection(identifier, None)
        instant = now()
        until = self._statements.rests_until(endpoint, instant)
        if until is None:
            return None
        self._host.metrics.relay_rejections.increment("resting")
        return encode_rejection(identifier, until - instant)

    def notify_connect(self, target: str, succeeded: bool) -> None:
        """Record whether a connection over this host's own links succeeded."""
        self._host.dialer.record_direct(target, succeeded)

    def notify_response_head(self, target: str, head: ResponseHead) -> None:
        """Apply what an endpoint says in a response to a peer's request."""
        endpoint = self._host.site.endpoints.at_address(target)
        if endpoint is not None:
            response = decode_response_head(head)
            self._statements.observe_response(endpoint, response)
