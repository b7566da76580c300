"""The operators' bound on hosts that are cut off from all endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["CutRecord"]

STABLE_SECONDS = 3.0
MIN_SERVED_RATIO = 2 / 3
TOLERATED_FAILURES = 10
TOLERATED_SHARE = 1 / 50


@dataclass
class CutRecord:
    """First tries of clients while some hosts are cut off from all endpoints.

    ``first_tries`` are the host, the time, and whether it was served.
    """

    cut_hosts: frozenset[str]
    cut_at: float
    ended_at: float = float("inf")
    first_tries: list[tuple[str, float, bool]] = field(default_factory=list)

    def served_shares(self) -> tuple[float, float]:
        """Return the share served at hosts that were cut off, and at the others."""
        cut = [served for host, served in self._counted() if host in self.cut_hosts]
        others = [
            served for host, served in self._counted() if host not in self.cut_hosts
        ]
        assert cut
        assert others
        return sum(cut) / len(cut), sum(others) / len(others)

    def is_kept(self) -> bool:
        """Return whether callers of cut hosts were served often enough."""
        at_cut, at_others = self.served_shares()
        counted = self._counted()
        failures = sum(not served for host, served in counted if host in self.cut_hosts)
        return (
            at_cut >= MIN_SERVED_RATIO * at_others
            or failures <= TOLERATED_FAILURES + TOLERATED_SHARE * len(counted)
        )

    def _counted(self) -> list[tuple[str, bool]]:
        return [
            (host, served)
            for host, at, served in self.first_tries
            if self.cut_at + STABLE_SECONDS <= at < self.ended_at
        ]
