"""Shows in metrics and logs what memory clients hold, and whom it was refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from amaranthhollow.entry.metrics import Metrics
    from amaranthhollow.serving.held_memory import HeldMemory
    from amaranthhollow.serving.listener import Listener

__all__ = ["MemoryLog"]

LOG_INTERVAL_SECONDS = 5.0

log = logbook.Logger("memory")


class MemoryLog:
    """Updates the gauges, and logs at most one line in ``LOG_INTERVAL_SECONDS``."""

    def __init__(self, memory: HeldMemory, metrics: Metrics) -> None:
        """Report on ``memory`` in ``metrics``."""
        self._memory = memory
        self._metrics = metrics
        self._logged_count = 0
        self._next_log_at = 0.0
        self._logged_max_body_bytes = 0
        limits = memory.budget.limits_by_purpose
        metrics.memory_limit_bytes.values = {
            purpose.value: float(limit) for purpose, limit in limits.items()
        }

    def update(self, callers: Listener, now: float) -> None:
        """Update all gauges, and log that memory was refused or taken back."""
        memory, metrics = self._memory, self._metrics
        held = {p.value: float(n) for p, n in memory.budget.held_by_purpose.items()}
        metrics.held_bytes.values = {
            **held,
            "unparsed": float(callers.unparsed_bytes),
            "unsent": float(callers.unsent_bytes),
        }
        refused = {p.value: float(n) for p, n in memory.refused_by_purpose.items()}
        evicted = {p.value: float(n) for p, n in memory.evicted_by_purpose.items()}
        metrics.memory_refusals.values = refused
        metrics.memory_evictions.values = evicted
        metrics.closed_connections.values["slow reader"] = callers.slow_reader_count
        metrics.unread_refusals.values = {
            str(status): float(n) for status, n in callers.refused_by_status.items()
        }
        self._check_body_limit(callers.limits.max_body_bytes)
        count = sum(refused.values()) + sum(evicted.values())
        if count == self._logged_count or now < self._next_log_at:
            return
        self._logged_count = count
        self._next_log_at = now + LOG_INTERVAL_SECONDS
        log.warning(
            "no memory for all requests",
            extra={"held": held, "refused": refused, "evicted": evicted},
        )

    def _check_body_limit(self, max_body_bytes: int) -> None:
        """Log once for each configured limit that the memory has no room for."""
        room = self._memory.largest_body_bytes
        if max_body_bytes > room and max_body_bytes != self._logged_max_body_bytes:
            self._logged_max_body_bytes = max_body_bytes
            log.warning(
                "max_body_bytes exceeds the memory for bodies",
                extra={"max_body_bytes": max_body_bytes, "room": room},
            )
