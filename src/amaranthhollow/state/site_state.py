"""What one host holds of the site: the configuration and the endpoints, with proofs."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from amaranthhollow.decisions.site import SiteConfiguration

__all__ = ["EndpointSnapshot", "SiteDecoders", "SiteState", "StoredEntry"]

# No read for this long means that the store was away; entries lapse after three
# heartbeats of silence, which are longer.
OUTAGE_SECONDS = 2.0
# Entries that lapsed meanwhile are back about two seconds after its return
# (platform's pages, service discovery), and are read a read interval later.
RETURN_GRACE_SECONDS = 3.0

log = logbook.Logger("site")


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's entry as the store holds it."""

    endpoint_id: str
    value: bytes
    revision: int


class EndpointSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All entries of endpoints at one revision of the store."""

    revision: int
    entries: tuple[StoredEntry, ...]

    @property
    def fingerprint(self) -> int:
        """Identify the content, whatever the store's revision."""
        content = [(entry.endpoint_id, entry.revision) for entry in self.entries]
        digest = blake2b(msgspec.msgpack.encode(sorted(content)), digest_size=7)
        return int.from_bytes(digest.digest(), "big")


@dataclass(frozen=True)
class SiteDecoders:
    """How the platform writes a configuration and an endpoint's entry."""

    configuration: Callable[[bytes], Result[SiteConfiguration, str]]
    endpoint: Callable[[str, bytes], Result[ListedEndpoint, str]]


class SiteState:
    """The newest known configuration and endpoints; neither ever goes back."""

    def __init__(self, decoders: SiteDecoders) -> None:
        """Start knowing nothing."""
        self._decoders = decoders
        self.configuration: SiteConfiguration | None = None
        self.configuration_value = b""
        self.configuration_proof = Freshness()
        self.endpoints = EndpointTable()
        self.endpoints_proof = Freshness()
        self.snapshot = EndpointSnapshot(0, ())
        self.fingerprint = 0
        self._listed_by_id: dict[str, ListedEndpoint] = {}
        self._entries_by_id: dict[str, StoredEntry] = {}
        self._grace_until = 0.0
        self._woke_at = 0.0
        self._refused_value = b""

    @property
    def version(self) -> int:
        """The version of the configuration in force, or -1."""
        return -1 if self.configuration is None else self.configuration.version

    def apply_configuration(self, value: bytes, proven_at: float) -> bool:
        """Put a configuration in force unless it is older; tells whether it changed.

        ``proven_at`` is the instant before which the read that returned ``value``
        began.
        """
        if value == self.configuration_value:
            self.configuration_proof = self.configuration_proof.refreshed(proven_at)
            return False
        decoded = self._decoders.configuration(value)
        if isinstance(decoded, Err):
            self._refuse(value, decoded.err_value)
            return False
        if decoded.ok_value.version < self.version:
            return False
        before = self.version
        self.configuration = decoded.ok_value
        self.configuration_value = value
        self.configuration_proof = self.configuration_proof.refreshed(proven_at)
        log.info(
            "configuration applied",
            extra={"version": self.version, "previous": before},
        )
        return True

    def vouch_configuration(self, version: int, proof: Freshness) -> None:
        """Take a peer's word that ``version`` was the newest."""
        if version == self.version and proof.confirmed_at is not None:
            self.configuration_proof = self.configuration_proof.refreshed(
                proof.confirmed_at
            )

    def vouch_endpoints(self, fingerprint: int, proof: Freshness) -> None:
        """Take a peer's word that the entries with ``fingerprint`` were the newest."""
        if fingerprint == self.fingerprint and proof.confirmed_at is not None:
            self.endpoints_proof = self.endpoints_proof.refreshed(proof.confirmed_at)

    def apply_endpoints(
        self, snapshot: EndpointSnapshot, proven_at: float, now: float
    ) -> bool:
        """Take in the entries of a read; tells whether any changed."""
        if snapshot.revision < self.snapshot.revision:
            return False
        if self._was_store_away(now) and self._listed_by_id:
            self._grace_until = now + RETURN_GRACE_SECONDS
        self.endpoints_proof = self.endpoints_proof.refreshed(proven_at)
        fingerprint = snapshot.fingerprint
        self.snapshot = snapshot
        has_changed = fingerprint != self.fingerprint
        self.fingerprint = fingerprint
        if has_changed:
            self._decode_entries(snapshot)
        if has_changed or self._grace_until:
            self._note_listed(now)
        return has_changed

    def woke(self, now: float) -> None:
        """Note that the host was frozen until ``now``: its proofs are old by that.

        What was read since is no sign that the store was away either.
        """
        self._woke_at = now
        self._grace_until = 0.0
        self._note_listed(now)

    def tick(self, now: float) -> None:
        """End the grace of entries that are still missing after it."""
        if 0.0 < self._grace_until <= now:
            self._note_listed(now)

    def _was_store_away(self, now: float) -> bool:
        """Tell whether nobody has read the store for long, while this host ran."""
        age = min(self.endpoints_proof.age(now), now - self._woke_at)
        return age > OUTAGE_SECONDS

    def usable_endpoints(self, service: str, now: float) -> list[Endpoint]:
        """Return the endpoints of a service that may get new work."""
        return self.endpoints.usable(service, now, includes_unlisted=False)

    def shares_cache(self, service: str) -> bool:
        """Tell whether a service's endpoints can fetch prompts from each other."""
        if self.configuration is None:
            return False
        found = self.configuration.services_by_name.get(service)
        return found is not None and found.shares_cache

    def _decode_entries(self, snapshot: EndpointSnapshot) -> None:
        for entry in snapshot.entries:
            known = self._entries_by_id.get(entry.endpoint_id)
            if known is not None and known.revision == entry.revision:
                continue
            self._entries_by_id[entry.endpoint_id] = entry
            decoded = self._decoders.endpoint(entry.endpoint_id, entry.value)
            if isinstance(decoded, Err):
                self._listed_by_id.pop(entry.endpoint_id, None)
                log.warning(
                    "endpoint entry unreadable",
                    extra={"endpoint": entry.endpoint_id, "error": decoded.err_value},
                )
                continue
            self._listed_by_id[entry.endpoint_id] = decoded.ok_value
            self._apply(decoded.ok_value)

    def _apply(self, listed: ListedEndpoint) -> None:
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
            },
        )

    def _note_listed(self, now: float) -> None:
        """Note which endpoints are there; those that lapse with the store stay."""
        present = {entry.endpoint_id for entry in self.snapshot.entries}
        listed = present & set(self._listed_by_id)
        if now < self._grace_until:
            listed = set(self._listed_by_id)
        else:
            self._grace_until = 0.0
            for gone in set(self._entries_by_id) - present:
                del self._entries_by_id[gone]
                if self._listed_by_id.pop(gone, None) is not None:
                    log.info("endpoint entry removed", extra={"endpoint": gone})
        self.endpoints.update_listed(listed, now)

    def _refuse(self, value: bytes, error: str) -> None:
        if value != self._refused_value:
            self._refused_value = value
            log.error("configuration unreadable", extra={"error": error})
