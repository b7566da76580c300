"""Holds back software versions that may be those of an order that is not known yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import logbook

from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.decisions.endpoints import Endpoint
    from amaranthhollow.state.site_state import SiteState

__all__ = ["VersionHolds"]

# A version that appears is used without an order once the orders have been read, or by
# then at the latest, so that a release is served while the store is away.
MAX_HOLD_SECONDS = 2.0
# A version without engines for so long is new if it appears again.
FORGET_SECONDS = 10.0

log = logbook.Logger("rollouts")


class VersionHolds:
    """The versions that one host has seen, and those of them that have to wait.

    A version that appears beside others waits until this host has read the orders
    since, because its engines may be those of an order. It waits only while another
    version can serve.
    """

    def __init__(self, site: SiteState) -> None:
        """Start without any version of the endpoints in ``site``."""
        self._site = site
        self._seen_by_service: dict[str, dict[str, float]] = {}
        self._held_by_service: dict[str, dict[str, float]] = {}
        self._usable_by_service: dict[str, str] = {}

    @property
    def needs_orders(self) -> bool:
        """Whether a version is held back until the orders have been read."""
        return any(self._held_by_service.values())

    def seen(self, service: str) -> frozenset[str]:
        """Return the versions of a service that this host has seen."""
        return frozenset(self._seen_by_service.get(service, ()))

    def is_held(self, service: str, version: str) -> bool:
        """Return whether a version of a service has to wait."""
        held = self._held_by_service.get(service, {})
        return held is not None and version in held

    def may_use(self, service: str, version: str) -> bool:
        """Return whether a version need not wait, or is the only one that can serve.

        The engines of other versions may be listed although they have stopped.
        """
        if not self.is_held(service, version):
            return True
        if self._has_usable_other(service):
            return False
        self._held_by_service.pop(service, None)
        return True

    def _has_usable_other(self, service: str) -> bool:
        """Return whether a version that is not held has an engine that can serve."""
        known = self._site.endpoints.get(self._usable_by_service.get(service, ""))
        if known is not None and self._is_usable_other(known, service):
            return True
        for endpoint in self._site.endpoints.all():
            if self._is_usable_other(endpoint, service):
                self._usable_by_service[service] = endpoint.host
                return True
        return False

    def _is_usable_other(self, endpoint: Endpoint, service: str) -> bool:
        return (
            endpoint.listed.deployment == service
            and endpoint.is_listed
            and not endpoint.is_reclaimed
            and endpoint.retry_at <= now()
            and not self.is_held(service, endpoint.listed.software_version)
        )

    def notice(self, service: str, version: str) -> None:
        """Hold a version back that this host sees for the first time beside others.

        Of the versions that it finds at its start, only the oldest is used at once.
        """
        if version in self._seen_by_service.get(service, ()):
            return
        instant = now()
        seen = self._seen_by_service.setdefault(service, {})
        born_by_version = self._listed_versions(service)
        born_by_version.setdefault(version, 0)
        new = [v for v in born_by_version if v not in seen]
        if not seen or len(born_by_version) == 1:
            oldest = min(new, key=born_by_version.__getitem__)
            seen[oldest] = instant
            new.remove(oldest)
        for name in new:
            seen[name] = instant
            self._held_by_service.setdefault(service, {})[name] = instant
            log.info(
                "version held until the orders are read",
                extra={"service": service, "version": name},
            )

    def orders_read(self, requested_at: float) -> None:
        """Use the versions that were seen before the orders were read."""
        for held in self._held_by_service.values():
            for version in [v for v, at in held.items() if at <= requested_at]:
                del held[version]

    def release(self, service: str, version: str) -> None:
        """Leave a version to its roll-out."""
        self._held_by_service.get(service, {}).pop(version, None)

    def update(self) -> None:
        """Forget versions without engines, and end holds that are of no use."""
        instant = now()
        for service, seen in self._seen_by_service.items():
            listed = self._listed_versions(service)
            for version, seen_at in list(seen.items()):
                if version in listed:
                    seen[version] = instant
                elif instant >= seen_at + FORGET_SECONDS:
                    del seen[version]
            held = self._held_by_service.get(service, {})
            if not held:
                continue
            is_alone = not self._has_usable_other(service)
            for version, at in list(held.items()):
                if is_alone or instant >= at + MAX_HOLD_SECONDS:
                    del held[version]

    def _listed_versions(self, service: str) -> dict[str, int]:
        """Return the first start of an engine of each listed version."""
        born_by_version: dict[str, int] = {}
        for endpoint in self._site.endpoints.all():
            listed = endpoint.listed
            if listed.deployment == service and endpoint.is_listed:
                born = born_by_version.get(listed.software_version, listed.incarnation)
                born_by_version[listed.software_version] = min(born, listed.incarnation)
        return born_by_version
