"""Limits each endpoint to one suspect at a time, across daemons."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SLOT_LEASE_SECONDS", "SuspectSlot", "SuspectSlots"]

SLOT_LEASE_SECONDS = 60.0


@dataclass(frozen=True)
class SuspectSlot:
    """The suspect that may run at an endpoint until the slot expires."""

    request_digest: bytes
    expires_at: float


class SuspectSlots:
    """Limits each endpoint owned by this daemon to one suspect at a time.

    Otherwise two daemons could send suspects to the same endpoint, and its next crash
    would not show which one caused it. A slot expires by itself if its daemon is lost.
    """

    def __init__(self) -> None:
        """Start with every slot free."""
        self._slots_by_host: dict[str, SuspectSlot] = {}

    def acquire(self, host: str, request_digest: bytes, now: float) -> bool:
        """Acquire an endpoint's slot for a request, or extend it; return success."""
        slot = self._slots_by_host.get(host)
        is_free = slot is None or slot.expires_at <= now
        if not is_free and slot.request_digest != request_digest:
            return False
        self._slots_by_host[host] = SuspectSlot(
            request_digest, now + SLOT_LEASE_SECONDS
        )
        return True

    def release(self, host: str, request_digest: bytes) -> None:
        """Release the slot if the request still holds it."""
        slot = self._slots_by_host.get(host)
        if slot is not None and slot.request_digest == request_digest:
            del self._slots_by_host[host]
