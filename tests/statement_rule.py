"""The operators' bounds on what endpoints get after they have spoken for themselves.

An endpoint tells the host whose connection carries its response, whoever the request
came from.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.standins.scripted_endpoint import ScriptedEndpoint

__all__ = ["requests_during_rests", "requests_while_leaving"]

DRAIN_SECONDS = 2.0
TOLD_SECONDS = 0.5
TOLERATED_REQUESTS = 2


def is_never_excused(host: str, start: float, end: float) -> bool:
    """Excuse no host."""
    return False


def requests_during_rests(
    endpoint: ScriptedEndpoint,
    is_excused: Callable[[str, float, float], bool] = is_never_excused,
) -> list[str]:
    """Return the hosts that sent too much within a time that the endpoint had named.

    A host that was told to stay away may send two requests between half a second
    later and the end of that time. A restart, freeze or cut of the host in between
    excuses it.
    """
    violations = []
    for told in endpoint.rejections:
        if is_excused(told.sender, told.at, told.at + told.rest_seconds):
            continue
        arrived = [
            arrival
            for arrival in endpoint.arrivals
            if arrival.sender == told.sender
            and told.at + TOLD_SECONDS < arrival.at < told.at + told.rest_seconds
        ]
        if len(arrived) > TOLERATED_REQUESTS:
            times = ", ".join(f"{arrival.at - told.at:.2f}" for arrival in arrived)
            violations.append(
                f"{len(arrived)} requests of {told.sender} within {told.rest_seconds} s"
                f" after {told.at:.2f}: {times}"
            )
    return violations


def requests_while_leaving(
    endpoint: ScriptedEndpoint,
    sent_at_by_request: dict[str, float],
    is_excused: Callable[[str, float, float], bool] = is_never_excused,
    *,
    until: float = float("inf"),
) -> list[str]:
    """Return requests that came through a host later than the drain time.

    Counted is what arrives ``until`` the endpoint has ended.

    It runs from the first response in which the endpoint told that host that it
    leaves, to the time at which the caller sent the request. A restart or a freeze of
    the host in between excuses it.
    """
    told_at_by_host: dict[str, float] = {}
    for sender, at in endpoint.leaving_told:
        told_at_by_host.setdefault(sender, at)
    violations = []
    for arrival in endpoint.arrivals:
        if arrival.at >= until:
            continue
        told_at = told_at_by_host.get(arrival.sender, float("inf"))
        sent_at = sent_at_by_request[arrival.request_id]
        if sent_at > told_at + DRAIN_SECONDS and not is_excused(
            arrival.sender, told_at, sent_at
        ):
            late = f"{sent_at - told_at:.2f} s after it was told"
            violations.append(f"{arrival.request_id} through {arrival.sender}, {late}")
    return violations
