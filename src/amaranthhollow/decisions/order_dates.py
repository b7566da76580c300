"""Dates entries of the store, which do not state when they were written."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from amaranthhollow.decisions.store_position import StorePosition

__all__ = ["OrderDates"]

# At a read a second, these cover a minute.
MAX_READS = 64


class OrderDates:
    """The positions of the store at past reads.

    An entry was written after the last read at an earlier position, whatever was read::

        dates.record(StorePosition(0, 17), 100.0)
        dates.earliest(StorePosition(0, 18))  # 100.0
    """

    def __init__(self) -> None:
        """Start without any read."""
        self._reads: deque[tuple[StorePosition, float]] = deque(maxlen=MAX_READS)

    def record(self, position: StorePosition, requested_at: float) -> None:
        """Record a read, which began at ``requested_at``."""
        if not self._reads or self._reads[-1][0] < position:
            self._reads.append((position, requested_at))
        elif self._reads[-1][0] == position and self._reads[-1][1] < requested_at:
            self._reads[-1] = (position, requested_at)

    def earliest(self, position: StorePosition) -> float | None:
        """Return when an entry at ``position`` may have been written at the earliest.

        None if no read was at an earlier position.
        """
        reads = [at for earlier, at in self._reads if earlier < position]
        return max(reads, default=None)
