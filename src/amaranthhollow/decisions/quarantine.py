"""Detects requests that crash the endpoints that run them, and quarantines them.

Every request that was running at an endpoint when it crashed is a suspect. A suspect
that is running at a later crash is quarantined, unless another earlier suspect was
running there too: either may then be the cause, and both remain suspects. The evidence
is a grow-only set of facts, so all daemons reach the same verdict. The verdict is
delayed until other daemons' evidence on the same crash has had time to arrive.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decoding import Amount

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "CRASH_FACT",
    "EVIDENCE_DELAY_SECONDS",
    "VERDICT_DELAY_SECONDS",
    "Evidence",
    "Quarantine",
    "SuspectSlot",
    "SuspectSlots",
]

CRASH_FACT = "crash"
EVIDENCE_DELAY_SECONDS = 0.3
VERDICT_DELAY_SECONDS = 0.9
SLOT_LEASE_SECONDS = 60.0
EVIDENCE_RETENTION_SECONDS = 3600.0


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A request was running at an endpoint when it crashed.

    ``crash_id`` names the endpoint and its incarnation; ``at`` is in seconds since
    the Unix epoch.
    """

    request_digest: bytes
    crash_id: str
    at: Amount


@dataclass(frozen=True)
class _PendingLoss:
    """A lost connection, not yet evidence: the entire data centre may have failed."""

    evidence: Evidence
    host: str
    data_centre: str
    due_at: float


@dataclass(frozen=True)
class SuspectSlot:
    """The suspect that may run at an endpoint until the slot expires."""

    request_digest: bytes
    expires_at: float


class Quarantine:
    """The crash evidence that one daemon has, and the verdicts that follow from it."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._losses: list[_PendingLoss] = []
        self._by_request: dict[bytes, dict[str, Evidence]] = {}
        self._by_crash: dict[str, dict[bytes, Evidence]] = {}

    @property
    def has_pending_losses(self) -> bool:
        """Whether lost connections wait to be confirmed as evidence."""
        return bool(self._losses)

    def is_suspect(self, request_digest: bytes) -> bool:
        """Return whether the request was running at any crash."""
        return request_digest in self._by_request

    def is_quarantined(self, request_digest: bytes, now: float) -> bool:
        """Return whether the request is the only earlier suspect of a later crash."""
        crashes = self._by_request.get(request_digest, {})
        return any(
            evidence.at + VERDICT_DELAY_SECONDS <= now
            and self._has_earlier_crash(request_digest, evidence.at)
            and not self._has_other_suspect(evidence)
            for evidence in crashes.values()
        )

    def quarantined(self, now: float) -> list[bytes]:
        """Return the digests of all quarantined requests."""
        return [d for d in self._by_request if self.is_quarantined(d, now)]

    def record_connection_loss(
        self,
        request_digest: bytes,
        host: str,
        incarnation: int,
        data_centre: str,
        now: float,
        lost_at: float | None = None,
    ) -> float:
        """Record a connection that was lost without a reclaim notice.

        ``lost_at`` is the time of the loss if it was before ``now``. Return the time
        from which the request may be retried.
        """
        at = now if lost_at is None else lost_at
        evidence = Evidence(request_digest, f"{host}@{incarnation}", at)
        due_at = now + EVIDENCE_DELAY_SECONDS
        self._losses.append(_PendingLoss(evidence, host, data_centre, due_at))
        if self.is_suspect(request_digest):
            return now + VERDICT_DELAY_SECONDS
        return due_at

    def confirm_evidence(self, reclaimed: Iterable[str], now: float) -> list[Fact]:
        """Return the losses that are confirmed as evidence by now, as facts.

        The loss of a host in ``reclaimed`` is no evidence against the requests that
        were running there. Nor are simultaneous losses of several hosts in one data
        centre, unless the request ran on all of these hosts, one after the other.
        """
        due = [loss for loss in self._losses if loss.due_at <= now]
        losses = self._losses
        self._losses = [loss for loss in losses if loss.due_at > now]
        reclaimed_hosts = set(reclaimed)
        return [
            _fact(loss.evidence)
            for loss in due
            if loss.host not in reclaimed_hosts
            and not _has_unrelated_loss(loss, losses)
        ]

    def apply(self, fact: Fact) -> Evidence:
        """Add evidence that gossip reported as new."""
        evidence = msgspec.msgpack.decode(fact.value, type=Evidence)
        digest, crash_id = evidence.request_digest, evidence.crash_id
        self._by_request.setdefault(digest, {})[crash_id] = evidence
        self._by_crash.setdefault(crash_id, {})[digest] = evidence
        return evidence

    def expire(self, now: float) -> list[str]:
        """Remove expired evidence, and return the names of its facts."""
        expired = [
            evidence
            for crashes in self._by_request.values()
            for evidence in crashes.values()
            if evidence.at + EVIDENCE_RETENTION_SECONDS <= now
        ]
        for evidence in expired:
            _discard(self._by_request, evidence.request_digest, evidence.crash_id)
            _discard(self._by_crash, evidence.crash_id, evidence.request_digest)
        return [_fact_name(evidence) for evidence in expired]

    def _has_earlier_crash(self, request_digest: bytes, at: float) -> bool:
        crashes = self._by_request.get(request_digest, {})
        return any(evidence.at < at for evidence in crashes.values())

    def _has_other_suspect(self, evidence: Evidence) -> bool:
        others = self._by_crash[evidence.crash_id]
        return any(
            digest != evidence.request_digest
            and self._has_earlier_crash(digest, other.at)
            for digest, other in others.items()
        )


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


def _has_unrelated_loss(loss: _PendingLoss, losses: Iterable[_PendingLoss]) -> bool:
    """Return whether the data centre lost a host that did not run the request."""
    hosts = {lost.host for lost in losses if lost.data_centre == loss.data_centre}
    own = loss.evidence
    ran_on = {
        other.host
        for other in losses
        if other.evidence.request_digest == own.request_digest
        and other.evidence.at != own.at
    }
    return bool(hosts - ran_on - {loss.host})


def _discard(index: dict, outer: bytes | str, inner: bytes | str) -> None:
    index[outer].pop(inner, None)
    if not index[outer]:
        del index[outer]


def _fact_name(evidence: Evidence) -> str:
    return f"{evidence.request_digest.hex()}/{evidence.crash_id}"


def _fact(evidence: Evidence) -> Fact:
    value = msgspec.msgpack.encode(evidence)
    return Fact(CRASH_FACT, _fact_name(evidence), Version(1), value)
