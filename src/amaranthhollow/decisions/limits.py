"""Admits or refuses requests by workspace, with no message per request.

Each daemon enforces its share of a workspace's budget. The limiter stores one
instant per workspace, the theoretical arrival time of the generic cell rate
algorithm, in place of a bucket level that has to be refilled.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Admit", "Refuse", "WorkspaceLimiter"]

BURST_SECONDS = 1.0


@dataclass(frozen=True)
class Admit:
    """The request may go on."""


@dataclass(frozen=True)
class Refuse:
    """The request is refused; the caller should come back at ``retry_at``."""

    retry_at: float


class WorkspaceLimiter:
    """Request rates of the workspaces at one daemon."""

    def __init__(self) -> None:
        """Start with every budget unused."""
        self._arrival_at_by_workspace: dict[str, float] = {}

    def admit(self, workspace: str, rate: float, now: float) -> Admit | Refuse:
        """Decide on a request at ``now`` against ``rate`` requests a second."""
        interval = 1.0 / rate
        tolerance = max(BURST_SECONDS, interval)
        arrival_at = max(self._arrival_at_by_workspace.get(workspace, 0.0), now)
        if arrival_at + interval > now + tolerance + interval / 2:
            return Refuse(retry_at=arrival_at + interval - tolerance)
        self._arrival_at_by_workspace[workspace] = arrival_at + interval
        return Admit()
