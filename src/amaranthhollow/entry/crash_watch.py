"""Finds requests that crash the endpoints that run them, with the other hosts.

A lost connection alone is no crash: answers are lost for other reasons, too. It counts
as one when the endpoint takes no new connection a moment later.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

import logbook

from amaranthhollow.decisions.gossip import Fact, Version
from amaranthhollow.decisions.quarantine import CRASH_FACT, Quarantine
from amaranthhollow.serving.endpoint_connection import connect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.membership import Membership
    from amaranthhollow.serving.request import CallerRequest
    from amaranthhollow.state.site_state import SiteState

__all__ = ["CrashWatch"]

# Names a request by its digest that an endpoint has run well since it was suspected.
SOUND_FACT = "sound"
DIGEST_BYTES = 16
# A crash ends the endpoint's connections and its listener together; a check that
# comes sooner may find the listener still open.
CHECK_SECONDS = 0.1
CHECK_TIMEOUT_SECONDS = 0.4
SETTLE_TICK_SECONDS = 0.1
# A loss is checked and settled within a second.
LOSS_RETENTION_SECONDS = 5.0

log = logbook.Logger("crashes")


@dataclass(frozen=True)
class _Loss:
    """A request whose connection was lost, in seconds since the Unix epoch."""

    request_digest: bytes
    at: float


class CrashWatch:
    """The evidence that one host has and hears of."""

    def __init__(self, site: SiteState, membership: Membership) -> None:
        """Share evidence through ``membership``."""
        self._site = site
        self._membership = membership
        self._quarantine = Quarantine()
        self._has_evidence = False
        self._sound: set[str] = set()
        self._lost_at_by_digest: dict[bytes, float] = {}
        self._lost_by_endpoint: dict[str, list[_Loss]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def is_quarantined(self, request: CallerRequest) -> bool:
        """Tell whether a request has crashed the endpoints that ran it."""
        if not self._has_evidence:
            return False
        digest = request_digest(request)
        is_sound = digest.hex() in self._sound
        return not is_sound and self._quarantine.is_quarantined(digest, time.time())

    def succeeded(self, request: CallerRequest) -> None:
        """Clear a suspect that an endpoint has run well."""
        if not (self._has_evidence or self._lost_at_by_digest):
            return
        digest = request_digest(request)
        name = digest.hex()
        was_lost = digest in self._lost_at_by_digest
        is_suspect = was_lost or self._quarantine.is_suspect(digest)
        if is_suspect and name not in self._sound:
            fact = Fact(SOUND_FACT, name, Version(1), b"")
            self.learn(self._membership.merge([fact], time.time()))

    def connection_lost(self, request: CallerRequest, endpoint: Endpoint) -> None:
        """Note a request whose endpoint ended the connection before the answer."""
        loss = _Loss(request_digest(request), time.time())
        self._lost_at_by_digest[loss.request_digest] = loss.at
        lost = self._lost_by_endpoint.get(endpoint.host)
        if lost is not None:
            lost.append(loss)
            return
        self._lost_by_endpoint[endpoint.host] = [loss]
        task = asyncio.create_task(self._check(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def learn(self, facts: Iterable[Fact]) -> None:
        """Take in evidence that gossip found new."""
        for fact in facts:
            if fact.kind == SOUND_FACT:
                self._sound.add(fact.name)
            if fact.kind == CRASH_FACT:
                evidence = self._quarantine.apply(fact)
                self._has_evidence = True
                log.info(
                    "crash evidence",
                    extra={
                        "digest": evidence.request_digest.hex(),
                        "crash": evidence.crash_id,
                    },
                )

    async def run(self) -> None:
        """Settle and expire evidence until cancelled."""
        while True:
            await asyncio.sleep(SETTLE_TICK_SECONDS)
            instant = time.time()
            reclaimed = [e.host for e in self._site.endpoints.all() if e.is_reclaimed]
            facts = self._quarantine.confirm_evidence(reclaimed, instant)
            self.learn(self._membership.merge(facts, instant))
            self._forget_losses(instant)
            for name in self._quarantine.expire(instant):
                self._membership.table.remove(CRASH_FACT, name)
                sound = name.partition("/")[0]
                self._sound.discard(sound)
                self._membership.table.remove(SOUND_FACT, sound)

    def _forget_losses(self, instant: float) -> None:
        """Forget losses that are evidence by now, or never will be."""
        for digest, at in list(self._lost_at_by_digest.items()):
            if at + LOSS_RETENTION_SECONDS <= instant:
                del self._lost_at_by_digest[digest]

    async def _check(self, endpoint: Endpoint) -> None:
        """Try to connect; an endpoint that takes no connection has crashed."""
        listed = endpoint.listed
        await asyncio.sleep(CHECK_SECONDS)
        connection = await connect(listed.address, listed.port, CHECK_TIMEOUT_SECONDS)
        losses = self._lost_by_endpoint.pop(endpoint.host, [])
        if connection is not None:
            connection.close()
            return
        instant = time.time()
        for loss in losses:
            self._quarantine.record_connection_loss(
                loss.request_digest,
                listed.host,
                listed.incarnation,
                listed.data_centre,
                instant,
                loss.at,
            )


def request_digest(request: CallerRequest) -> bytes:
    """Identify requests with the same caller, method, target and body."""
    digest = blake2b(digest_size=DIGEST_BYTES)
    parts = (
        (request.key or "").encode(),
        request.head.method,
        request.head.target,
        request.body,
    )
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
