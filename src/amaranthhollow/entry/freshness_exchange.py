"""Tells peers how recent the documents of this host are, and who holds the duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.duties import ObservedHolder
from amaranthhollow.decisions.freshness import freshness_from_peer
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.entry.peer_documents import (
    CONFIGURATION_TARGET,
    ENDPOINTS_TARGET,
)
from amaranthhollow.peers.datagrams import RELEASED_LEASE_SECONDS, FreshnessReport
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.entry.host import Host
    from amaranthhollow.entry.peer_documents import PeerDocuments

__all__ = ["FreshnessExchange"]


class FreshnessExchange:
    """Builds and applies the freshness reports of pings and echoes."""

    def __init__(self, host: Host, documents: PeerDocuments) -> None:
        """Report on behalf of ``host``, and fetch newer ``documents`` from peers."""
        self._host = host
        self._documents = documents

    def build_report(self) -> FreshnessReport:
        """Return how recent what this host knows is, and who holds the duties."""
        host, instant = self._host, now()
        site, duty = host.site, host.duty
        holder, token, remaining_seconds = "", 0, 0.0
        if duty.held_lease is not None:
            holder, token = host.name, duty.held_lease.fencing_token
            remaining_seconds = duty.held_lease.expires_at - instant
        elif duty.observed_holder is not None:
            holder, token = (
                duty.observed_holder.host,
                duty.observed_holder.fencing_token,
            )
            remaining_seconds = duty.observed_holder.expires_at - instant
            if duty.observed_holder.is_released:
                remaining_seconds = RELEASED_LEASE_SECONDS
        return FreshnessReport(
            site.version,
            _encode_age(site.configuration_freshness.age(instant)),
            site.snapshot.revision,
            site.fingerprint,
            _encode_age(site.endpoints_freshness.age(instant)),
            holder,
            token,
            remaining_seconds,
            host.store.era,
            site.snapshot.era,
            _encode_age(site.steady_seconds(instant)),
        )

    def apply_report(self, name: str, report: FreshnessReport, sent_at: float) -> None:
        """Apply the report of a peer in response to a ping of ``sent_at``."""
        site = self._host.site
        self._host.store.observe_era(report.store_era)
        if report.configuration_age >= 0:
            freshness = freshness_from_peer(sent_at, report.configuration_age)
            if report.configuration_version > site.version:
                self._documents.fetch(
                    name, CONFIGURATION_TARGET, freshness.confirmed_at
                )
            site.confirm_configuration(report.configuration_version, freshness)
        if report.endpoints_age >= 0:
            freshness = freshness_from_peer(sent_at, report.endpoints_age)
            position = StorePosition(report.endpoints_era, report.endpoints_revision)
            is_newer = position > site.snapshot.position
            if is_newer and report.endpoints_fingerprint != site.fingerprint:
                self._documents.fetch(name, ENDPOINTS_TARGET, freshness.confirmed_at)
            site.confirm_endpoints(report.endpoints_fingerprint, freshness)
            if report.steady_seconds >= 0:
                instant = now()
                site.observe_steady_peer(
                    name,
                    instant - report.steady_seconds,
                    freshness.confirmed_at,
                    instant,
                )
        if report.holder and report.holder != self._host.name:
            is_released = report.holder_seconds == RELEASED_LEASE_SECONDS
            expires_at = 0.0 if is_released else now() + report.holder_seconds
            observed_holder = ObservedHolder(
                report.holder, report.fencing_token, expires_at, is_released
            )
            self._host.duty = self._host.duty.observe_holder(observed_holder)


def _encode_age(age: float | None) -> float:
    """Return an age as it is sent to peers, where -1 means never confirmed."""
    return -1.0 if age is None or age == float("inf") else age
