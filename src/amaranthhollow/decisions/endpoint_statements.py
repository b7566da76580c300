"""What endpoints say of themselves: that they leave, and until when they rest.

That an endpoint leaves is true for all hosts and for as long as it runs, so it is
shared as a fact. Until when it wants no more requests holds for the host that it told.
Both hold for one incarnation: an endpoint that has started again has said nothing yet.
"""

from __future__ import annotations

from amaranthhollow.decisions.gossip import Fact, Version

__all__ = ["LEAVING_FACT", "MAX_REST_SECONDS", "EndpointStatements"]

LEAVING_FACT = "leaving"
# Longer than any deadline; an endpoint that rests for longer says so again.
MAX_REST_SECONDS = 600.0


class EndpointStatements:
    """The statements of all endpoints that one host knows.

    Example::

        statements = EndpointStatements()
        statements.rest("i-1", 7, until=105.0)
        statements.rests_until("i-1", 7, now=101.0)  # 105.0
    """

    def __init__(self) -> None:
        """Start without statements."""
        self._leaving_incarnation_by_id: dict[str, int] = {}
        self._rest_by_id: dict[str, tuple[int, float]] = {}

    @property
    def has_any(self) -> bool:
        """Whether any statement is known."""
        return bool(self._leaving_incarnation_by_id or self._rest_by_id)

    def leaving_fact(self, endpoint_id: str, incarnation: int) -> Fact | None:
        """Return the fact that an endpoint leaves, or None if that is known."""
        if self.is_leaving(endpoint_id, incarnation):
            return None
        return Fact(LEAVING_FACT, endpoint_id, Version(incarnation), b"")

    def apply(self, fact: Fact) -> None:
        """Apply the fact that an endpoint leaves."""
        known = self._leaving_incarnation_by_id.get(fact.name, -1)
        incarnation = max(known, fact.version.incarnation)
        self._leaving_incarnation_by_id[fact.name] = incarnation

    def is_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Return whether this incarnation of an endpoint, or a later one, leaves."""
        return self._leaving_incarnation_by_id.get(endpoint_id, -1) >= incarnation

    def rest(self, endpoint_id: str, incarnation: int, until: float) -> None:
        """Record until when an endpoint wants no more requests of this host."""
        previous = self.rests_until(endpoint_id, incarnation, float("-inf"))
        latest = until if previous is None else max(previous, until)
        self._rest_by_id[endpoint_id] = (incarnation, latest)

    def rests_until(
        self, endpoint_id: str, incarnation: int, now: float
    ) -> float | None:
        """Return until when an endpoint rests, or None if it does not."""
        resting_incarnation, until = self._rest_by_id.get(endpoint_id, (-1, 0.0))
        if resting_incarnation != incarnation or until <= now:
            return None
        return until

    def expire(self, now: float) -> None:
        """Drop the rests that have ended."""
        for endpoint_id, (_, until) in list(self._rest_by_id.items()):
            if until <= now:
                del self._rest_by_id[endpoint_id]

    def forget_leaving(self, endpoint_id: str) -> bool:
        """Drop that an endpoint leaves; return whether that was known."""
        return self._leaving_incarnation_by_id.pop(endpoint_id, None) is not None
