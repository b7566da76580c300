"""Keeps one host's requests within the roll-outs of services to other versions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

import logbook
import msgspec

from amaranthhollow.decisions.canary_engines import canary_engines
from amaranthhollow.decisions.rollout_allowance import RolloutAllowance, owned_units
from amaranthhollow.decisions.rollout_verdict import (
    Evidence,
    Verdict,
)
from amaranthhollow.decisions.rollouts import ROLLOUT_FACT, Rollout, Stage
from amaranthhollow.entry.known_hosts import KnownHosts
from amaranthhollow.entry.rollout_answers import RolloutAnswers, route_series
from amaranthhollow.entry.service_rollout import ServiceRollout
from amaranthhollow.entry.version_holds import VersionHolds
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.decisions.gossip import Fact
    from amaranthhollow.decisions.rollout_verdict import AnswerCounts
    from amaranthhollow.entry.host import Host
    from amaranthhollow.serving.admission import Admitted

__all__ = ["Rollouts"]

EVALUATION_SECONDS = 0.4
# By then the engines that a roll-out has made needless are gone, or have been listed
# again for another purpose.
ENDED_SECONDS = 10.0
# Without news for this long, a host may have missed that the version is bad.
MAX_NEWS_AGE_SECONDS = 5.0
# A host that reaches few others reads the stages from the store every second.
MAX_CONFIRMATION_AGE_SECONDS = 2.5

log = logbook.Logger("rollouts")


@dataclass(frozen=True)
class _VersionUse:
    """The versions of a service, and which of them the next request is kept from.

    It changes with each request, and is looked up for each endpoint.
    """

    known: frozenset[str]
    barred: frozenset[str]
    avoided: frozenset[str]


class Rollouts:
    """The roll-outs that this host knows of, and what it may send where.

    ``holds`` are the versions that wait until the orders have been read.
    """

    fact_kinds: ClassVar = (ROLLOUT_FACT,)

    def __init__(self, host: Host) -> None:
        """Keep the roll-outs on behalf of ``host``; without bounds there are none."""
        self._host = host
        bounds = host.settings.bounds
        self.is_enabled = None not in (
            bounds.expose_share,
            bounds.expose_slack,
            bounds.rollback_ms,
        )
        self._started_at = now()
        self._confirmed_at = -MAX_CONFIRMATION_AGE_SECONDS
        self.holds = VersionHolds(host.site)
        self._known_hosts = KnownHosts()
        self._use_by_service: dict[str, _VersionUse] = {}
        self.by_service: dict[str, ServiceRollout] = {}

    # What the forwarder asks and tells.

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a request may go to an engine of this version now."""
        if not self.is_enabled:
            return True
        listed = endpoint.listed
        use = self._use_by_service.get(listed.deployment)
        if use is None or listed.software_version not in use.known:
            self.holds.notice(listed.deployment, listed.software_version)
            use = self._refresh(listed.deployment)
        if listed.software_version not in use.barred:
            return True
        is_held = self.holds.is_held(listed.deployment, listed.software_version)
        if is_held and self.holds.may_use(listed.deployment, listed.software_version):
            use = self._refresh(listed.deployment)
        return listed.software_version not in use.barred

    def prefers(self, endpoint: Endpoint) -> bool:
        """Return whether the next request of a service should go to this version.

        If no such engine can be chosen, it goes to another.
        """
        listed = endpoint.listed
        use = self._use_by_service.get(listed.deployment)
        if use is None:
            return True
        if listed.software_version in use.avoided:
            return False
        found = self.by_service.get(listed.deployment)
        return found is None or found.may_test_on(endpoint)

    def _refresh(self, service: str) -> _VersionUse:
        """Return which versions of a service the next request may and should go to."""
        known = self.holds.seen(service)
        found = self.by_service.get(service)
        barred = {v for v in known if self._is_barred(found, service, v)}
        avoided: set[str] = set()
        if found is not None and not found.rollout.stage.is_final:
            takes_target = (
                found.has_target and not found.bars_target and found.prefers_target
            )
            target = found.rollout.target
            avoided = {v for v in known if (v == target) is not takes_target}
        use = _VersionUse(known, frozenset(barred), frozenset(avoided))
        self._use_by_service[service] = use
        return use

    def _is_barred(
        self, found: ServiceRollout | None, service: str, version: str
    ) -> bool:
        if found is not None:
            if version == found.rollout.target:
                return found.bars_target
            if found.bars_others or (
                version == found.barred_target and found.has_others
            ):
                return True
        return self.holds.is_held(service, version)

    def has_preference(self, service: str) -> bool:
        """Return whether the engines of a service are not all used alike."""
        rollout = self.by_service.get(service)
        return rollout is not None and not rollout.rollout.stage.is_final

    def may_use_others(self, service: str) -> bool:
        """Return whether new work may go to engines that are not preferred."""
        rollout = self.by_service.get(service)
        return rollout is None or not rollout.is_moved

    def record_sent(self, endpoint: Endpoint, *, is_first: bool) -> None:
        """Count an attempt that is about to be made."""
        rollout = self.by_service.get(endpoint.listed.deployment)
        if rollout is None or rollout.rollout.stage.is_final:
            return
        is_target = endpoint.listed.software_version == rollout.rollout.target
        rollout.allowance = rollout.allowance.sent(
            is_exposed=is_target, is_first=is_first
        )
        rollout.credit += rollout.rollout.stage.share - is_target
        rollout.credit = max(-1.0, min(2.0, rollout.credit))
        self._refresh(endpoint.listed.deployment)
        self._host.metrics.rollout_requests.increment(
            endpoint.listed.deployment, "new" if is_target else "old"
        )

    def record_answer(
        self,
        admitted: Admitted,
        endpoint: Endpoint,
        seconds: float | None,
        *,
        is_pace: bool = False,
        is_rejection: bool = False,
    ) -> None:
        """Count an answer or the pace of a stream; without ``seconds``, a failure.

        A rejection is one during the test alone: later it may come from the load.
        """
        rollout = self.by_service.get(endpoint.listed.deployment)
        if rollout is None or rollout.rollout.stage.is_final:
            return
        if is_rejection and rollout.rollout.stage is not Stage.TEST:
            return
        is_new = endpoint.listed.software_version == rollout.rollout.target
        series = route_series(admitted.route.name, is_pace=is_pace)
        rollout.answers.record(endpoint.host, series, seconds, is_new=is_new)
        if seconds is None:
            self._host.metrics.rollout_failures.increment(
                endpoint.listed.deployment, "new" if is_new else "old"
            )

    def is_capacity(self, endpoint: Endpoint) -> bool:
        """Return whether an engine counts among those that carry its service's load.

        Those of the new version are no surplus while the old ones still run.
        """
        rollout = self.by_service.get(endpoint.listed.deployment)
        if rollout is None or rollout.is_lifted:
            return True
        is_target = endpoint.listed.software_version == rollout.rollout.target
        if rollout.rollout.stage is Stage.COMPLETED:
            return is_target or not rollout.has_target
        return not is_target or not rollout.has_others

    # What reports and gossip bring.

    def answers(self) -> dict[str, AnswerCounts]:
        """Return this host's counts of the roll-outs in progress."""
        return {
            service: found.answers.own(
                found.allowance.exposed, found.allowance.requests
            )
            for service, found in self.by_service.items()
            if not found.rollout.stage.is_final
        }

    def observe_answers(
        self, process: str, answers: Mapping[str, AnswerCounts]
    ) -> None:
        """Apply the counts of a peer's process."""
        for service, counts in answers.items():
            rollout = self.by_service.get(service)
            if rollout is not None:
                rollout.answers.observe(process, counts)

    def apply_facts(self, facts: Iterable[Fact]) -> None:
        """Apply stages of roll-outs that gossip reported as new."""
        for fact in facts:
            rollout = msgspec.msgpack.decode(fact.value, type=Rollout)
            if rollout.service != fact.name or rollout.version != fact.version:
                raise ValueError("the name or version is not that of the content")
            if self.is_enabled:
                self.apply(rollout)

    def apply(self, rollout: Rollout) -> None:
        """Take over a stage, unless a later one is known."""
        known = self.by_service.get(rollout.service)
        if known is not None and known.rollout.version >= rollout.version:
            return
        if known is None or known.rollout.token != rollout.token:
            known = self._begin(rollout, known)
        previous, known.rollout = known.rollout, rollout
        known.credit = self._host.random.random()
        self._update_use(known)
        self._refresh(rollout.service)
        gauge = self._host.metrics.rollout_share
        gauge.values[rollout.service] = rollout.stage.share
        log.info(
            "rollout stage",
            extra={
                "service": rollout.service,
                "target": rollout.target,
                "stage": rollout.stage.name.lower(),
                "previous": previous.stage.name.lower(),
                "reason": rollout.reason,
                "seconds": round(self._host.wall_time() - rollout.ordered_at, 2),
                "seconds_left": round(rollout.deadline - self._host.wall_time(), 2),
                "sent": known.allowance.requests,
                "exposed": known.allowance.exposed,
                "exposed_elsewhere": known.answers.exposed_elsewhere,
                "answers": known.evidence.answers,
                "log_ratio": round(known.evidence.log_ratio, 2),
                "kind": known.evidence.kind,
                "news_age": round(now() - known.evaluated_at, 2),
            },
        )
        if rollout.stage.is_final:
            known.answers = RolloutAnswers(rollout.token)

    def publish(self, rollout: Rollout) -> None:
        """Tell the peers of a stage, and apply it here."""
        facts = self._host.membership.merge([rollout.to_fact()], now())
        self.apply_facts(facts)
        self.apply(rollout)

    # What the background task calls.

    def update(self) -> None:
        """Evaluate the answers, roll back what is bad, and end what is over."""
        self._known_hosts.record(self._host.sharing_hosts, now())
        for found in self.by_service.values():
            self._update_use(found)
            stage = found.rollout.stage
            if stage.is_final or now() < found.evaluated_at + EVALUATION_SECONDS:
                continue
            found.evaluated_at = now()
            found.evidence = found.answers.evaluate(
                found.allowance.requests, now(), is_warming=stage is not Stage.TEST
            )
            if found.evidence.verdict is Verdict.BAD:
                wall_time = self._host.wall_time()
                reason = self._describe(found.evidence)
                self.publish(
                    found.rollout.at_stage(Stage.ROLLED_BACK, wall_time, reason)
                )
        self.holds.update()
        for service in self._use_by_service:
            self._refresh(service)

    def orders_read(self, requested_at: float) -> None:
        """Use the versions that were seen before the orders were read."""
        self.holds.orders_read(requested_at)
        for service in self._use_by_service:
            self._refresh(service)

    def _describe(self, evidence: Evidence) -> str:
        """Return what speaks against a version, within the length of a label."""
        where = "all routes"
        configuration = self._host.site.configuration
        if evidence.series is not None:
            where = f"series {evidence.series:x}"
            for route in () if configuration is None else configuration.routes:
                if evidence.series == route_series(route.name):
                    where = f"route {route.name:.100}"
                elif evidence.series == route_series(route.name, is_pace=True):
                    where = f"the pace of route {route.name:.100}"
        return (
            f"{evidence.kind} on {where}: {evidence.failures} failed of "
            f"{evidence.answers}, log ratio {evidence.log_ratio:.1f}"
        )

    @property
    def needs_stages(self) -> bool:
        """Whether to read the stages from the store, as gossip may not bring them."""
        return self._reaches_few_hosts and any(
            not found.rollout.stage.is_final for found in self.by_service.values()
        )

    @property
    def _reaches_few_hosts(self) -> bool:
        """Whether most hosts, the holder of the duties among them, may be elsewhere."""
        counts = self._host.host_counts
        return 2 * counts.reachable < max(counts.total, len(self._known_hosts))

    def stages_read(self, requested_at: float) -> None:
        """Record that the stages were read from the store."""
        self._confirmed_at = requested_at

    def _begin(
        self, rollout: Rollout, replaced: ServiceRollout | None
    ) -> ServiceRollout:
        """Return the state for a new order, which may replace an earlier one."""
        host = self._host
        bounds = host.settings.bounds
        process_started_at = host.wall_time() - (now() - self._started_at)
        units = 0
        if process_started_at < rollout.ordered_at and host.sharing_hosts:
            key = f"{rollout.service}/{rollout.token}"
            self._known_hosts.record(host.sharing_hosts, now())
            hosts = self._known_hosts.names
            units = owned_units(key, bounds.expose_slack, host.name, hosts)
        found = ServiceRollout(
            rollout,
            RolloutAnswers(rollout.token, bounds.rollback_ms / 1000),
            RolloutAllowance(bounds.expose_share, units),
        )
        if replaced is not None and replaced.rollout.target != rollout.target:
            if replaced.rollout.stage is not Stage.COMPLETED:
                found.barred_target = replaced.rollout.target
        self.by_service[rollout.service] = found
        self.holds.release(rollout.service, rollout.target)
        return found

    def _update_use(self, found: ServiceRollout) -> None:
        """Update which versions have engines, and whether this host has news."""
        host, instant = self._host, now()
        target, service = found.rollout.target, found.rollout.service
        live = [
            endpoint
            for endpoint in host.site.endpoints.all()
            if endpoint.listed.deployment == service
            and endpoint.is_listed
            and not endpoint.is_reclaimed
        ]
        target_ids = [e.host for e in live if e.listed.software_version == target]
        found.engines = len(target_ids)
        share = self._host.settings.bounds.expose_share
        found.canaries = canary_engines(target, target_ids, share)
        found.has_target = found.engines > 0
        found.has_others = len(live) > found.engines
        found.has_usable_target = any(
            endpoint.listed.software_version == target and endpoint.retry_at <= instant
            for endpoint in live
        )
        found.is_in_touch = (
            instant - self._confirmed_at <= MAX_CONFIRMATION_AGE_SECONDS
            if self._reaches_few_hosts
            else found.rollout.stage is not Stage.TEST
            or host.site.endpoints_freshness.age(instant) <= MAX_NEWS_AGE_SECONDS
        )
        is_unused = (
            not found.has_others
            if found.rollout.stage is Stage.COMPLETED
            else not found.has_target
        )
        if not (found.rollout.stage.is_final and is_unused):
            found.unused_since = None
        elif found.unused_since is None:
            found.unused_since = instant
        elif instant >= found.unused_since + ENDED_SECONDS:
            found.is_lifted = True
