"""Shares the slots of a busy deployment among workspaces, without coordination."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["Admit", "Capacity", "FairShare", "Reject"]

BUSY_UTILIZATION = 0.85
BURST_FACTOR = 2.0
BUSY_RETRY_SECONDS = 2.0
OVERFLOW_FACTOR = 1.2


@dataclass(frozen=True)
class Admit:
    """The request is admitted."""


@dataclass(frozen=True)
class Reject:
    """The request is rejected; the caller should retry at ``retry_at``."""

    retry_at: float


@dataclass(frozen=True)
class Capacity:
    """The capacity of a deployment's endpoints and their reported load, in requests.

    ``slots`` and ``running`` are sums over the usable endpoints. ``daemons`` is the
    number of daemons that share them.
    """

    slots: int
    running: int
    daemons: int

    @property
    def is_busy(self) -> bool:
        """Whether further requests would soon have to queue."""
        return self.running >= BUSY_UTILIZATION * self.slots

    @property
    def local_slots(self) -> float:
        """This daemon's share of the slots."""
        return self.slots / max(1, self.daemons)


class FairShare:
    """Shares a deployment's slots among workspaces by weight while it is busy.

    A request of a workspace that exceeds its share is rejected at once, so that other
    workspaces do not queue behind it and admitted requests finish in time. A workspace
    that uses less for its weight than another may exceed its share somewhat. While the
    deployment is not busy, every request is admitted.
    """

    def __init__(self) -> None:
        """Start with no request in flight."""
        self._in_flight_by_workspace: Counter[str] = Counter()

    def admit(
        self,
        workspace: str,
        weights_by_workspace: Mapping[str, float],
        capacity: Capacity,
        now: float,
    ) -> Admit | Reject:
        """Admit or reject a request of ``workspace`` at ``now``."""
        total = self._in_flight_by_workspace.total()
        if not capacity.is_busy and total < BURST_FACTOR * capacity.local_slots:
            return Admit()
        active = {w for w, count in self._in_flight_by_workspace.items() if count}
        weight = weights_by_workspace.get(workspace, 1.0)
        weights = sum(weights_by_workspace.get(w, 1.0) for w in active | {workspace})
        share = max(1.0, capacity.local_slots * weight / weights)
        if self._in_flight_by_workspace[workspace] < share:
            return Admit()
        is_overflow_used = total >= OVERFLOW_FACTOR * capacity.local_slots
        if not is_overflow_used and self._is_below_another(
            workspace, weights_by_workspace
        ):
            return Admit()
        return Reject(retry_at=now + BUSY_RETRY_SECONDS)

    def _is_below_another(self, workspace: str, weights: Mapping[str, float]) -> bool:
        """Return whether another workspace uses more for its weight."""
        used = {
            w: count / weights.get(w, 1.0)
            for w, count in self._in_flight_by_workspace.items()
        }
        return used.get(workspace, 0.0) < max(used.values(), default=0.0)

    def record_started(self, workspace: str) -> None:
        """Count an admitted request as in flight."""
        self._in_flight_by_workspace[workspace] += 1

    def record_ended(self, workspace: str) -> None:
        """Count an admitted request as no longer in flight."""
        self._in_flight_by_workspace[workspace] -= 1
