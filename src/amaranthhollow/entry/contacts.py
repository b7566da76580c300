"""When each peer, and each process on it, was first and last seen to run."""

from __future__ import annotations

__all__ = ["Contacts"]


class Contacts:
    """The sightings of peers by one host, from messages and from relayed reports."""

    def __init__(self) -> None:
        """Start without sightings."""
        self._last_seen_at_by_host: dict[str, float] = {}
        self._newest_incarnation_by_host: dict[str, int] = {}
        self._first_seen_at_by_process: dict[str, float] = {}

    def record(self, host: str, incarnation: int, seen_at: float, now: float) -> bool:
        """Record that a process ran at ``seen_at``, of which this host hears ``now``.

        Return whether it is the newest process of its host.
        """
        process = f"{host}@{incarnation}"
        self._first_seen_at_by_process.setdefault(process, now)
        if incarnation < self._newest_incarnation_by_host.get(host, incarnation):
            return False
        self._newest_incarnation_by_host[host] = incarnation
        last_seen_at = self._last_seen_at_by_host.get(host, seen_at)
        self._last_seen_at_by_host[host] = max(last_seen_at, seen_at)
        return True

    def last_seen_at(self, host: str) -> float:
        """Return when a host was last seen to run, or 0."""
        return self._last_seen_at_by_host.get(host, 0.0)

    def first_seen_at(self, process: str, default: float) -> float:
        """Return when this host first heard of a process."""
        return self._first_seen_at_by_process.get(process, default)

    def seen_since(self, instant: float) -> list[str]:
        """Return the hosts that were seen to run after ``instant``, by name."""
        seen = self._last_seen_at_by_host.items()
        return sorted(host for host, at in seen if at > instant)

    def forget_hosts(self, seen_before: float) -> list[str]:
        """Drop the hosts that were last seen before; return their names."""
        last_seen = self._last_seen_at_by_host.items()
        forgotten = [host for host, at in last_seen if at <= seen_before]
        for host in forgotten:
            del self._last_seen_at_by_host[host]
            del self._newest_incarnation_by_host[host]
        return forgotten

    def forget_process(self, process: str) -> None:
        """Drop a process that has ended."""
        self._first_seen_at_by_process.pop(process, None)
