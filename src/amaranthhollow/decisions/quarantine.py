"""Finds requests that crash the endpoints that run them, and stops them.

Whatever was running at an endpoint when it crashed is a suspect. A suspect that is
running at another crash is quarantined, unless another earlier suspect was running
there too: then either may be the cause, and both go on as suspects. The evidence is
a set of facts that only grows, so all daemons come to the same verdict. The verdict
waits until the evidence of other daemons on the same crash has had time to arrive.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from amaranthhollow.decisions.gossip import Fact, Version

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
    at: float


@dataclass(frozen=True)
class _Loss:
    """A lost connection that is not evidence yet: a whole data centre may be lost."""

    evidence: Evidence
    host: str
    data_centre: str
    settles_at: float


@dataclass(frozen=True)
class SuspectSlot:
    """The suspect that may run at an endpoint, until the slot lapses."""

    request_digest: bytes
    expires_at: float


class Quarantine:
    """The evidence that one daemon knows."""

    def __init__(self) -> None:
        """Start without evidence."""
        self._losses: list[_Loss] = []
        self._by_request: dict[bytes, dict[str, Evidence]] = {}
        self._by_crash: dict[str, dict[bytes, Evidence]] = {}

    def is_suspect(self, request_digest: bytes) -> bool:
        """Tell whether the request was running at any crash."""
        return request_digest in self._by_request

    def is_quarantined(self, request_digest: bytes, now: float) -> bool:
        """Tell whether the request is the only earlier suspect of a later crash."""
        crashes = self._by_request.get(request_digest, {})
        return any(
            evidence.at + VERDICT_DELAY_SECONDS <= now
            and self._has_earlier(request_digest, evidence.at)
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
        """Note a connection lost without a notice, at ``lost_at`` if before ``now``.

        Returns the instant from which the request may be tried again.
        """
        at = now if lost_at is None else lost_at
        evidence = Evidence(request_digest, f"{host}@{incarnation}", at)
        settles_at = now + EVIDENCE_DELAY_SECONDS
        self._losses.append(_Loss(evidence, host, data_centre, settles_at))
        if self.is_suspect(request_digest):
            return now + VERDICT_DELAY_SECONDS
        return settles_at

    def confirm_evidence(self, reclaimed: Iterable[str], now: float) -> list[Fact]:
        """Return the evidence that is now settled.

        The loss of a host in ``reclaimed`` says nothing about the requests that were
        running, nor does that of several in one data centre at once, unless the
        request was running on one after the other.
        """
        due = [loss for loss in self._losses if loss.settles_at <= now]
        losses = self._losses
        self._losses = [loss for loss in losses if loss.settles_at > now]
        excused = set(reclaimed)
        return [
            _fact(loss.evidence)
            for loss in due
            if loss.host not in excused and not _lost_without(loss, losses)
        ]

    def apply(self, fact: Fact) -> Evidence:
        """Take in evidence that gossip found new."""
        evidence = msgspec.msgpack.decode(fact.value, type=Evidence)
        digest, crash_id = evidence.request_digest, evidence.crash_id
        self._by_request.setdefault(digest, {})[crash_id] = evidence
        self._by_crash.setdefault(crash_id, {})[digest] = evidence
        return evidence

    def expire(self, now: float) -> list[str]:
        """Forget old evidence, and return the names of its facts."""
        old = [
            evidence
            for crashes in self._by_request.values()
            for evidence in crashes.values()
            if evidence.at + EVIDENCE_RETENTION_SECONDS <= now
        ]
        for evidence in old:
            _discard(self._by_request, evidence.request_digest, evidence.crash_id)
            _discard(self._by_crash, evidence.crash_id, evidence.request_digest)
        return [_name(evidence) for evidence in old]

    def _has_earlier(self, request_digest: bytes, at: float) -> bool:
        crashes = self._by_request.get(request_digest, {})
        return any(evidence.at < at for evidence in crashes.values())

    def _has_other_suspect(self, evidence: Evidence) -> bool:
        others = self._by_crash[evidence.crash_id]
        return any(
            digest != evidence.request_digest and self._has_earlier(digest, other.at)
            for digest, other in others.items()
        )


class SuspectSlots:
    """Lets one suspect at a time run at each endpoint that this daemon owns.

    Without it two daemons send suspects to one endpoint, and its next crash tells
    nothing about either. A slot lapses by itself if its daemon is lost.
    """

    def __init__(self) -> None:
        """Start with every slot free."""
        self._taken_by_host: dict[str, SuspectSlot] = {}

    def acquire(self, host: str, request_digest: bytes, now: float) -> bool:
        """Take the slot of an endpoint for a request, or for it once more."""
        taken = self._taken_by_host.get(host)
        is_free = taken is None or taken.expires_at <= now
        if not is_free and taken.request_digest != request_digest:
            return False
        self._taken_by_host[host] = SuspectSlot(
            request_digest, now + SLOT_LEASE_SECONDS
        )
        return True

    def release(self, host: str, request_digest: bytes) -> None:
        """Free the slot if the request still holds it."""
        taken = self._taken_by_host.get(host)
        if taken is not None and taken.request_digest == request_digest:
            del self._taken_by_host[host]


def _lost_without(loss: _Loss, losses: Iterable[_Loss]) -> bool:
    """Tell whether the data centre lost a host that did not run the request."""
    hosts = {o.host for o in losses if o.data_centre == loss.data_centre}
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


def _name(evidence: Evidence) -> str:
    return f"{evidence.request_digest.hex()}/{evidence.crash_id}"


def _fact(evidence: Evidence) -> Fact:
    value = msgspec.msgpack.encode(evidence)
    return Fact(CRASH_FACT, _name(evidence), Version(1), value)
