"""Quarantines requests and prompts that crash endpoints, on evidence of all hosts.

A lost connection alone is no crash: responses are lost for other reasons, too. It
counts as one when the endpoint accepts no new connection shortly afterwards, not even
of a peer if this host may have lost its links to endpoints.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, ClassVar

import logbook

from amaranthhollow.decisions.prompt_quarantine import (
    PART_CRASH_FACT,
    PART_SUCCESS_FACT,
    PromptQuarantine,
)
from amaranthhollow.decisions.quarantine import (
    CLEARED_FACT,
    CRASH_FACT,
    SIMULTANEOUS_CRASH_FACT,
    Evidence,
    Quarantine,
)
from amaranthhollow.decoding import Amount, decode_msgpack
from amaranthhollow.peers.endpoint_dialer import Reachability
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.decisions.membership import Membership
    from amaranthhollow.decisions.site_clock import SiteClock
    from amaranthhollow.peers.endpoint_dialer import EndpointDialer
    from amaranthhollow.serving.request import CallerRequest
    from amaranthhollow.state.site_state import SiteState

__all__ = ["CrashDetector"]

DIGEST_BYTES = 16
# A crash ends the endpoint's connections and its listener together; a check that
# comes sooner may find the listener still open.
CHECK_DELAY_SECONDS = 0.1
UPDATE_INTERVAL_SECONDS = 0.1
# Without a recent loss there is only evidence to expire, after an hour.
IDLE_UPDATE_INTERVAL_SECONDS = 1.0
# A lost connection is checked and evaluated within a second.
LOSS_RETENTION_SECONDS = 5.0
# An endpoint crashes when it begins to respond, so a response that has been going on
# for this long is not the cause.
SETTLED_SECONDS = 1.0
# A trial of a quarantined request has shown a crash or a success by then.
TRIAL_SECONDS = 15.0
# For a part of a prompt, which is tried again only some time later.
QUARANTINE_RETRY_SECONDS = 60.0
MIN_RETRY_SECONDS = 0.1
# The clocks of hosts in touch differ by less from the time they agree on.
MAX_FUTURE_SECONDS = 10.0
REJECTION_LOG_SECONDS = 10.0
# Good runs before any crash keep a harmless request from being refused beside crashing
# ones: without them, 2 of 36 runs of a model refused one, for up to 19 s. Larger bodies
# take long to hash, 98 us at 100 kB, and are hashed only while there are suspects.
MAX_EARLY_DIGEST_BYTES = 16_384

log = logbook.Logger("crashes")


@dataclass(frozen=True)
class _ConnectionLoss:
    """A lost connection of a request, at a time by the clock that the hosts agree on.

    ``part_ids`` are the shared parts of the prompt that may have caused the loss.
    """

    request_digest: bytes
    lost_at: float
    part_ids: tuple[str, ...]


class CrashDetector:
    """Collects one host's evidence of crashes and merges that of its peers."""

    fact_kinds: ClassVar = (
        CRASH_FACT,
        SIMULTANEOUS_CRASH_FACT,
        CLEARED_FACT,
        PART_CRASH_FACT,
        PART_SUCCESS_FACT,
    )

    def __init__(
        self,
        site: SiteState,
        membership: Membership,
        clock: SiteClock,
        dialer: EndpointDialer,
    ) -> None:
        """Share evidence through ``membership``, and check endpoints by ``dialer``.

        ``evidence_version`` rises with each change of the evidence.
        """
        self._site = site
        self._membership = membership
        self._clock = clock
        self._dialer = dialer
        self._quarantine = Quarantine(membership.host, is_updated=True)
        self._prompts = PromptQuarantine(membership.host)
        self._tried_at_by_digest: dict[bytes, float] = {}
        self._quarantined: set[bytes] = set()
        self.evidence_version = 0
        self._lost_at_by_digest: dict[bytes, float] = {}
        self._losses_by_endpoint: dict[str, list[_ConnectionLoss]] = {}
        self._has_losses = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._logged_rejection_at = float("-inf")
        self.rejected_count = 0
        membership.is_acceptable = self._is_acceptable

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether a request, or a part of its prompt, crashes endpoints."""
        if self._prompts.is_quarantined(
            _shared_parts(request), self._membership.peers, self._site_time()
        ):
            return True
        if not self._quarantine.suspect_count:
            return False
        digest, instant = request_digest(request), self._site_time()
        if not self._quarantine.is_quarantined(digest, instant):
            return False
        if instant < self._retry_at(digest, instant):
            return True
        is_lasting = self._quarantine.has_lasting_verdict(digest, instant)
        return is_lasting and not self._may_try(digest, instant)

    def may_not_repeat(self, request: CallerRequest) -> bool:
        """Return whether a request must not be sent again after a failed attempt.

        One that has just lost its endpoint, as at several crashes before, waits for
        the verdict on these: the caller gets the failure, and may send it again.
        """
        if self.is_quarantined(request):
            return True
        if not self._quarantine.suspect_count:
            return False
        digest = request_digest(request)
        was_lost = digest in self._lost_at_by_digest
        return was_lost and self._quarantine.has_repeated(digest)

    def retry_seconds(self, request: CallerRequest) -> float:
        """Return after how long a refused request may be sent again."""
        digest, instant = request_digest(request), self._site_time()
        if not self._quarantine.is_quarantined(digest, instant):
            return QUARANTINE_RETRY_SECONDS
        remaining = self._retry_at(digest, instant) - instant
        if remaining <= 0.0:
            # A trial is under way.
            return TRIAL_SECONDS
        return max(MIN_RETRY_SECONDS, remaining)

    def _retry_at(self, request_digest: bytes, instant: float) -> float:
        peers = self._membership.peers
        return self._quarantine.retry_at(request_digest, instant, peers)

    def record_success(self, request: CallerRequest, sent_at: float) -> None:
        """Clear a suspected request that an endpoint has run successfully.

        ``sent_at`` is the time on the monotonic clock of its last attempt.
        """
        facts = self._prompts.record_success(
            _shared_parts(request), self._clock.wall_time(sent_at)
        )
        if self._has_suspects or len(request.body) <= MAX_EARLY_DIGEST_BYTES:
            digest = request_digest(request)
            facts += self._quarantine.record_success(digest, self._site_time())
        self.publish(facts)

    @property
    def _has_suspects(self) -> bool:
        """Whether any request ran at a crash, or lost a connection just now."""
        return bool(self._quarantine.suspect_count or self._lost_at_by_digest)

    def record_connection_loss(
        self, request: CallerRequest, endpoint: Endpoint, began_at: float | None
    ) -> None:
        """Record that an endpoint closed the connection before it had responded.

        ``began_at`` is the time on the monotonic clock of its first event, if any.
        """
        is_settled = began_at is not None and now() - began_at >= SETTLED_SECONDS
        loss = _ConnectionLoss(
            request_digest(request),
            self._site_time(),
            () if is_settled else _shared_parts(request),
        )
        self._lost_at_by_digest[loss.request_digest] = loss.lost_at
        self._has_losses.set()
        pending_losses = self._losses_by_endpoint.get(endpoint.host)
        if pending_losses is not None:
            pending_losses.append(loss)
            return
        self._losses_by_endpoint[endpoint.host] = [loss]
        task = asyncio.create_task(self._check_endpoint(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._end_check)

    def _end_check(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            extra = {"error": repr(task.exception())}
            log.error("check of an endpoint failed", extra=extra)

    def _is_acceptable(self, fact: Fact, instant: float) -> bool:
        """Return whether a fact is no evidence, or of a time that may have come.

        A good run of the far future would clear a request that crashes endpoints for
        ever, and a crash would never expire.
        """
        if fact.kind not in self.fact_kinds:
            return True
        happened_at = _happened_at(fact)
        latest = self._clock.wall_time(instant) + MAX_FUTURE_SECONDS
        if happened_at is None or happened_at <= latest:
            return True
        self.rejected_count += 1
        if instant >= self._logged_rejection_at + REJECTION_LOG_SECONDS:
            self._logged_rejection_at = instant
            extra = {"kind": fact.kind, "fact": fact.name, "at": happened_at}
            log.warning("evidence of the future rejected", extra=extra)
        return False

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply facts that gossip reported as new."""
        for fact in facts:
            self.evidence_version += 1
            if fact.kind in (PART_CRASH_FACT, PART_SUCCESS_FACT):
                self._apply_part_fact(fact)
            if fact.kind == CLEARED_FACT:
                self._quarantine.apply_success(fact)
                log.info("suspect cleared", extra={"digest": fact.name})
            if fact.kind in (CRASH_FACT, SIMULTANEOUS_CRASH_FACT):
                self._apply_crash(fact)

    def update_verdicts(self) -> None:
        """Weigh the evidence at once, before a request asks for a verdict."""
        self._quarantine.update(self._site_time())

    def _apply_crash(self, fact: Fact) -> None:
        evidence = self._quarantine.apply(fact)
        self._has_losses.set()
        log.info(
            "crash evidence",
            extra={
                "digest": evidence.request_digest.hex(),
                "crash": evidence.crash_id,
                "beside_others": fact.kind == SIMULTANEOUS_CRASH_FACT,
            },
        )
        self.publish(self._quarantine.replies(evidence.request_digest))

    def has_repeated(self, digest_hex: str) -> bool:
        """Return whether a request ran at several crashes, and not well since."""
        is_digest = len(digest_hex) == 2 * DIGEST_BYTES
        return is_digest and self._quarantine.has_repeated(bytes.fromhex(digest_hex))

    def counts_by_state(self) -> dict[str, float]:
        """Return how many requests are suspects, and how many are quarantined."""
        return {
            "suspected": float(self._quarantine.suspect_count),
            "quarantined": float(len(self._quarantined)),
        }

    async def run(self) -> None:
        """Evaluate and expire evidence until cancelled."""
        while True:
            await self._wait_until_due()
            instant = self._site_time()
            reclaimed = [e.host for e in self._site.endpoints.all() if e.is_reclaimed]
            self.publish(
                self._quarantine.confirm_evidence(
                    reclaimed, instant, includes_simultaneous=True
                )
            )
            self._expire_losses(instant)
            removed = [
                *self._quarantine.expire(instant),
                *self._prompts.expire(instant),
            ]
            self.evidence_version += len(removed)
            for kind, name in removed:
                self._membership.table.remove(kind, name)
            self._quarantine.update(instant)
            self._log_verdicts(instant)

    def _log_verdicts(self, instant: float) -> None:
        """Log which requests are quarantined, and which no longer are."""
        quarantined = set(self._quarantine.quarantined(instant))
        for digest in quarantined ^ self._quarantined:
            is_quarantined = digest in quarantined
            log.warning(
                "request quarantined" if is_quarantined else "quarantine ended",
                extra={
                    "digest": digest.hex(),
                    "crashes": self._quarantine.crash_count(digest),
                },
            )
        self._quarantined = quarantined

    def _may_try(self, request_digest: bytes, instant: float) -> bool:
        """Return whether this host has not just begun a trial of the request."""
        tried_at = self._tried_at_by_digest.get(request_digest, float("-inf"))
        if instant < tried_at + TRIAL_SECONDS:
            return False
        self._tried_at_by_digest[request_digest] = instant
        return True

    async def _wait_until_due(self) -> None:
        """Wait for the next update, which comes soon after a lost connection."""
        is_active = (
            self._lost_at_by_digest
            or self._quarantine.has_pending_losses
            or self._quarantine.is_update_due
        )
        if not is_active:
            self._has_losses.clear()
            try:
                async with asyncio.timeout(IDLE_UPDATE_INTERVAL_SECONDS):
                    await self._has_losses.wait()
            except TimeoutError:
                return
        await asyncio.sleep(UPDATE_INTERVAL_SECONDS)

    def publish(self, facts: Iterable[Fact]) -> None:
        """Share facts with the other hosts, and apply those that are new."""
        self.apply_facts(self._membership.merge(facts, now()))

    def _apply_part_fact(self, fact: Fact) -> None:
        replies = self._prompts.apply(fact, self._site_time())
        log.info("prompt evidence", extra={"kind": fact.kind, "part": fact.name})
        self.publish(replies)

    def _site_time(self) -> float:
        return self._clock.wall_time(now())

    def _expire_losses(self, instant: float) -> None:
        """Remove lost connections that have become evidence by now or never will."""
        for digest, lost_at in list(self._lost_at_by_digest.items()):
            if lost_at + LOSS_RETENTION_SECONDS <= instant:
                del self._lost_at_by_digest[digest]
        for digest in list(self._tried_at_by_digest):
            if not self._quarantine.is_suspect(digest):
                del self._tried_at_by_digest[digest]

    async def _check_endpoint(self, endpoint: Endpoint) -> None:
        """Report lost connections as crashes if no host can open a new one."""
        listed = endpoint.listed
        try:
            await asyncio.sleep(CHECK_DELAY_SECONDS)
            reachability = await self._dialer.check(listed.address, listed.port)
        finally:
            losses = self._losses_by_endpoint.pop(endpoint.host, [])
        if reachability is not Reachability.UNREACHABLE:
            return
        instant = self._site_time()
        for loss in losses:
            self._quarantine.record_connection_loss(
                loss.request_digest,
                listed.host,
                listed.incarnation,
                listed.data_centre,
                instant,
                loss.lost_at,
            )
        current = self._site.endpoints.get(endpoint.host)
        if current is not None and current.is_reclaimed:
            return
        crash_id = f"{listed.host}@{listed.incarnation}"
        for loss in losses:
            self.publish(
                self._prompts.crash_facts(loss.part_ids, crash_id, loss.lost_at)
            )


def _happened_at(fact: Fact) -> float | None:
    """Return the time that evidence is about, or None if it cannot be read."""
    if fact.kind in (CLEARED_FACT, PART_SUCCESS_FACT):
        return fact.version.incarnation / 1000
    if fact.kind == PART_CRASH_FACT:
        return decode_msgpack(fact.value, Amount).ok()
    evidence = decode_msgpack(fact.value, Evidence).ok()
    return None if evidence is None else evidence.at


def _shared_parts(request: CallerRequest) -> tuple[str, ...]:
    """Return the parts of a prompt that other requests may have, too."""
    return tuple(part.part_id for part in request.prompt[:-1])


def request_digest(request: CallerRequest) -> bytes:
    """Return the digest of a request's caller, method, target and body.

    It is computed once for each request, since that takes long for a large body.
    """
    if request.digest_cache:
        return request.digest_cache[0]
    digest = blake2b(digest_size=DIGEST_BYTES)
    parts = (
        (request.api_key or "").encode(),
        request.head.method,
        request.head.target,
        request.body,
    )
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    request.digest_cache.append(digest.digest())
    return request.digest_cache[0]
