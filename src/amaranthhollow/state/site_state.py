"""The newest configuration and endpoints of a site that a host has received."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice
from typing import TYPE_CHECKING

import logbook
import msgspec
from result import Err

from amaranthhollow.decisions.endpoints import (
    Endpoint,
    EndpointTable,
    ListedEndpoint,
    endpoint_fact,
)
from amaranthhollow.decisions.freshness import Freshness
from amaranthhollow.decisions.store_position import StorePosition
from amaranthhollow.decoding import Era, Number

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from amaranthhollow.decisions.site import SiteConfiguration

__all__ = ["EndpointSnapshot", "SiteDecoders", "SiteState", "StoredEntry"]

# Without a read for this long, the store counts as unreachable. Endpoint entries
# expire after three missed heartbeats, which takes longer.
MIN_OUTAGE_SECONDS = 2.0
# Entries that expired during an outage are written again within about two seconds
# of its end (platform documentation, service discovery) and are read one read
# interval later.
RECOVERY_GRACE_SECONDS = 3.0
# The operators' configuration as well; the margin is for a delayed write.
REWRITE_SECONDS = 2.2
# A store that returned from an older copy lists endpoints that are gone until their
# entries expire, three heartbeats of 1.2 s later (platform documentation, service
# discovery), and is read one read interval later.
GONE_ENDPOINT_RETENTION_SECONDS = 4.5
# Of one read; another writer may leave entries by the hundred.
MAX_UNREADABLE_LINES = 10

log = logbook.Logger("site")


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's encoded entry in the store."""

    endpoint_id: str
    value: bytes
    revision: Number


class EndpointSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All endpoint entries at one position of the store."""

    revision: Number
    entries: tuple[StoredEntry, ...]
    era: Era = 0

    @property
    def position(self) -> StorePosition:
        """The position of the store at which the entries were read."""
        return StorePosition(self.era, self.revision)

    @property
    def fingerprint(self) -> int:
        """Hash of the entries and the era, independent of the store's revision."""
        content = [(entry.endpoint_id, entry.revision) for entry in self.entries]
        salt = self.era.to_bytes(8, "big") if self.era else b""
        encoded = msgspec.msgpack.encode(sorted(content))
        digest = blake2b(encoded, digest_size=7, salt=salt)
        return int.from_bytes(digest.digest(), "big")


@dataclass(frozen=True)
class _Span:
    """A span of time without a gap in the reads of a host, or such a gap."""

    begins_at: float
    ends_at: float

    def covers(self, gap: _Span) -> bool:
        """Return whether reads without a gap leave no time for an outage in ``gap``."""
        is_recent = self.ends_at >= gap.ends_at - MIN_OUTAGE_SECONDS
        return is_recent and self.begins_at <= gap.begins_at


@dataclass(frozen=True)
class SiteDecoders:
    """Decoders of the platform's configuration and endpoint entries."""

    configuration: Callable[[bytes], Result[SiteConfiguration, str]]
    endpoint: Callable[[str, bytes], Result[ListedEndpoint, str]]


class SiteState:
    """The newest configuration and endpoints that a host has received.

    Older versions are ignored. A ``Freshness`` states when a document was last
    confirmed to be the newest.
    """

    def __init__(self, decoders: SiteDecoders) -> None:
        """Start without a configuration or endpoints."""
        self._decoders = decoders
        self.configuration: SiteConfiguration | None = None
        self.configuration_value = b""
        self.configuration_freshness = Freshness()
        self.endpoints = EndpointTable()
        self.endpoints_freshness = Freshness()
        self.snapshot = EndpointSnapshot(0, ())
        self.fingerprint = 0
        self._listed_by_id: dict[str, ListedEndpoint] = {}
        self._entries_by_id: dict[str, StoredEntry] = {}
        self._error_by_id: dict[str, str] = {}
        self._grace_until = 0.0
        self._gap: _Span | None = None
        self._steady_by_peer: dict[str, _Span] = {}
        self._steady_since: float | None = None
        self._resumed_at = 0.0
        self._restored_at: float | None = None
        self._gone_incarnation_by_id: dict[str, int] = {}
        self._gone_until = 0.0
        self._rejected_value = b""

    @property
    def version(self) -> int:
        """The version of the configuration in force, or -1."""
        return -1 if self.configuration is None else self.configuration.version

    @property
    def has_endpoint_list(self) -> bool:
        """Whether a list of endpoints was read since the start, though an empty one."""
        return self.endpoints_freshness.confirmed_at is not None

    def apply_configuration(self, value: bytes, confirmed_at: float | None) -> bool:
        """Apply a configuration unless it is older; return whether it changed.

        ``confirmed_at`` is the time at which the read that returned ``value`` began,
        or an earlier one, or None if ``value`` may not be the newest.
        """
        if value == self.configuration_value:
            self._confirm_configuration_at(confirmed_at)
            return False
        decoded = self._decoders.configuration(value)
        if isinstance(decoded, Err):
            self._reject_configuration(value, decoded.err_value)
            return False
        if decoded.ok_value.version < self.version:
            return False
        previous = self.version
        self.configuration = decoded.ok_value
        self.configuration_value = value
        self._confirm_configuration_at(confirmed_at)
        log.info(
            "configuration applied",
            extra={"version": self.version, "previous": previous},
        )
        return True

    def confirm_configuration(self, version: int, freshness: Freshness) -> None:
        """Update the freshness if a peer confirmed the applied version as newest."""
        if version == self.version:
            self._confirm_configuration_at(freshness.confirmed_at)

    def _confirm_configuration_at(self, confirmed_at: float | None) -> None:
        if confirmed_at is not None:
            self.configuration_freshness = self.configuration_freshness.refreshed(
                confirmed_at
            )

    def confirm_endpoints(self, fingerprint: int, freshness: Freshness) -> None:
        """Update the freshness if a peer confirmed the applied entries as newest."""
        if fingerprint == self.fingerprint and freshness.confirmed_at is not None:
            self._confirm_endpoints_at(freshness.confirmed_at)

    def _confirm_endpoints_at(self, confirmed_at: float) -> None:
        previous = self.endpoints_freshness.confirmed_at
        if previous is None or confirmed_at > previous + MIN_OUTAGE_SECONDS:
            self._steady_since = confirmed_at
        self.endpoints_freshness = self.endpoints_freshness.refreshed(confirmed_at)

    def steady_seconds(self, now: float) -> float | None:
        """Return for how long reads of the endpoint entries have had no gap.

        None before the first one.
        """
        return None if self._steady_since is None else now - self._steady_since

    def observe_steady_peer(
        self, peer: str, steady_since: float, confirmed_at: float, now: float
    ) -> None:
        """Apply that a peer read the entries without a gap all the while.

        If that covers the gap of this host, the store was there and this host was cut
        off from it, so the missing entries did not expire for lack of a store.
        """
        self._steady_by_peer[peer] = _Span(steady_since, confirmed_at)
        if self._end_grace_if_cut_off():
            self._update_listed(now)

    def _gap_until(self, now: float) -> _Span | None:
        """Return the gap since the last read; None if the store was restored in it."""
        last_read_at = self.endpoints_freshness.confirmed_at
        restored_at = self._restored_at
        is_restored = restored_at is not None and (
            now < restored_at + RECOVERY_GRACE_SECONDS
        )
        if last_read_at is None or is_restored:
            return None
        return _Span(last_read_at, now)

    def _end_grace_if_cut_off(self) -> bool:
        gap = self._gap
        if gap is None or not any(
            span.covers(gap) for span in self._steady_by_peer.values()
        ):
            return False
        log.info(
            "no outage of the store; this host was cut off",
            extra={"seconds": round(gap.ends_at - gap.begins_at, 2)},
        )
        self._gap = None
        self._grace_until = 0.0
        return True

    def apply_endpoints(
        self, snapshot: EndpointSnapshot, confirmed_at: float, now: float
    ) -> bool:
        """Apply the entries of a read; return whether any changed.

        After a store outage, missing endpoints stay usable for a grace period.
        """
        if snapshot.position < self.snapshot.position:
            return False
        if self._was_store_unreachable(now) and self._listed_by_id:
            self._grace_until = now + RECOVERY_GRACE_SECONDS
            self._gap = self._gap_until(now)
            self._steady_by_peer = {
                peer: span
                for peer, span in self._steady_by_peer.items()
                if span.ends_at >= now - MIN_OUTAGE_SECONDS
            }
            self._end_grace_if_cut_off()
        fingerprint = snapshot.fingerprint
        has_changed = fingerprint != self.fingerprint
        if has_changed:
            self._decode_entries(snapshot)
        self.snapshot = snapshot
        self.fingerprint = fingerprint
        self._confirm_endpoints_at(confirmed_at)
        if has_changed or self._grace_until:
            self._update_listed(now)
        return has_changed

    def process_resumed(self, now: float) -> None:
        """Record that this process was suspended until ``now``.

        The suspension explains the age of the confirmations, so that neither they nor
        a read since count as a sign of a store outage: the grace period ends.
        """
        self._resumed_at = now
        self._grace_until = 0.0
        self._update_listed(now)

    def store_restored(self, now: float) -> None:
        """Record that the store has returned from an older copy of itself.

        Endpoints and the operators write again what the copy lacks. Until then its
        configuration may be older than the newest one, missing endpoints stay usable,
        and those that were gone before are not used again.
        """
        self._restored_at = now
        self._gap = None
        self._grace_until = now + RECOVERY_GRACE_SECONDS
        self._gone_until = now + GONE_ENDPOINT_RETENTION_SECONDS
        self._gone_incarnation_by_id |= {
            endpoint.host: endpoint.listed.incarnation
            for endpoint in self.endpoints.all()
            if not endpoint.is_listed
        }

    def is_configuration_current(self, requested_at: float) -> bool:
        """Return whether a read of the store gets the newest configuration.

        It may not until the operators have written theirs to a restored store again.
        A read that was requested before this host heard of the restore was answered
        after it.
        """
        if self._restored_at is None:
            return True
        return requested_at >= self._restored_at + REWRITE_SECONDS

    @property
    def has_pending_removals(self) -> bool:
        """Whether missing endpoints are removed, or gone ones forgotten, by a tick."""
        return self._grace_until > 0.0 or self._gone_until > 0.0

    def tick(self, now: float) -> None:
        """Remove missing endpoints once the grace period has ended."""
        if 0.0 < self._grace_until <= now or 0.0 < self._gone_until <= now:
            self._update_listed(now)

    def _was_store_unreachable(self, now: float) -> bool:
        """Return whether no host read the store for a time while this process ran."""
        age = min(self.endpoints_freshness.age(now), now - self._resumed_at)
        return age > MIN_OUTAGE_SECONDS

    def usable_endpoints(
        self,
        service: str,
        now: float,
        is_eligible: Callable[[Endpoint], bool] | None = None,
    ) -> list[Endpoint]:
        """Return the endpoints of a service that may receive new requests.

        With ``is_eligible``, only those for which it returns true.
        """
        return self.endpoints.usable(
            service, now, includes_unlisted=False, is_eligible=is_eligible
        )

    def shares_cache(self, service: str) -> bool:
        """Return whether a service's endpoints can copy cached prompts between them."""
        if self.configuration is None:
            return False
        found = self.configuration.services_by_name.get(service)
        return found is not None and found.shares_cache

    def _decode_entries(self, snapshot: EndpointSnapshot) -> None:
        """Apply the entries that have changed; one that is unreadable is left out."""
        unreadable: dict[str, str] = {}
        for entry in snapshot.entries:
            if self._entries_by_id.get(entry.endpoint_id) == entry:
                continue
            self._entries_by_id[entry.endpoint_id] = entry
            decoded = self._decoders.endpoint(entry.endpoint_id, entry.value)
            if isinstance(decoded, Err):
                self._listed_by_id.pop(entry.endpoint_id, None)
                unreadable[entry.endpoint_id] = decoded.err_value
                continue
            self._error_by_id.pop(entry.endpoint_id, None)
            if self._is_outdated(decoded.ok_value):
                continue
            self._listed_by_id[entry.endpoint_id] = decoded.ok_value
            self._apply_entry(decoded.ok_value)
        self._log_unreadable(unreadable)

    def _log_unreadable(self, error_by_id: dict[str, str]) -> None:
        """Log why entries cannot be read, once for each until the reason changes."""
        new = {e: r for e, r in error_by_id.items() if self._error_by_id.get(e) != r}
        self._error_by_id |= new
        for endpoint_id, error in islice(new.items(), MAX_UNREADABLE_LINES):
            log.warning(
                "endpoint entry unreadable; sending the endpoint no new requests",
                extra={"endpoint": endpoint_id, "error": error, "of": len(new)},
            )

    def _apply_entry(self, listed: ListedEndpoint) -> None:
        endpoint = self.endpoints.apply(endpoint_fact(listed), 0.0)
        log.info(
            "endpoint entry changed",
            extra={
                "endpoint": listed.host,
                "service": listed.deployment,
                "state": endpoint.state,
                "data_centre": listed.data_centre,
                "incarnation": listed.incarnation,
                "reclaimable": listed.is_reclaimable,
                "software": listed.software_version,
            },
        )

    def _update_listed(self, now: float) -> None:
        """Update which endpoints are listed; in a grace period, missing ones stay."""
        present = {entry.endpoint_id for entry in self.snapshot.entries}
        is_in_grace = now < self._grace_until
        if not is_in_grace:
            self._grace_until = 0.0
            self._gap = None
        for missing_id in set(self._entries_by_id) - present:
            if not (is_in_grace and self._is_alive(missing_id)):
                self._remove_entry(missing_id)
        if now >= self._gone_until:
            self._gone_until = 0.0
            self._gone_incarnation_by_id.clear()
        listed = {e for e in self._listed_by_id if self._is_alive(e)}
        self.endpoints.update_listed(listed, now)

    def _remove_entry(self, endpoint_id: str) -> None:
        del self._entries_by_id[endpoint_id]
        self._error_by_id.pop(endpoint_id, None)
        if self._listed_by_id.pop(endpoint_id, None) is not None:
            log.info("endpoint entry removed", extra={"endpoint": endpoint_id})

    def _is_alive(self, endpoint_id: str) -> bool:
        """Return whether a listed entry is not that of an endpoint known to be gone."""
        listed = self._listed_by_id.get(endpoint_id)
        if listed is None:
            return False
        return self._gone_incarnation_by_id.get(endpoint_id) != listed.incarnation

    def _is_outdated(self, listed: ListedEndpoint) -> bool:
        """Return whether an entry is of an earlier incarnation than the known one."""
        known = self.endpoints.get(listed.host)
        return known is not None and listed.incarnation < known.listed.incarnation

    def _reject_configuration(self, value: bytes, error: str) -> None:
        if value != self._rejected_value:
            self._rejected_value = value
            log.error(
                "configuration unreadable; not applied",
                extra={"error": error},
            )
