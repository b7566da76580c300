"""How long an endpoint that sends nothing keeps a request that may be retried."""

from __future__ import annotations

from math import inf

__all__ = [
    "MIN_INACTIVITY_SECONDS",
    "event_timeout",
    "head_timeout",
    "last_head_timeout",
    "reading_timeout",
]

# An endpoint that sent this host no data for this long may be unreachable.
MIN_INACTIVITY_SECONDS = 0.6
# A sound endpoint falls silent for up to a second or so.
MAX_PAUSE_SECONDS = 2.0
# The part of the time left after which a retryable request may be sent elsewhere.
HEAD_WAIT_FRACTION = 0.5
# Engines that also write read a prompt this much more slowly than alone, at most.
READING_TIME_MARGIN = 3.0


def reading_timeout(reading_seconds: float | None) -> float:
    """Return how long a sound engine may take to read the prompts that it has.

    ``reading_seconds`` is the time that it needs for them alone, and None if that is
    not known; then only the request's deadline bounds the wait. An engine that is left
    has read in vain, and the next one reads the prompt again. Example::

        reading_timeout(0.6)  # 1.8
    """
    return inf if reading_seconds is None else READING_TIME_MARGIN * reading_seconds


def head_timeout(
    left_seconds: float, target_seconds: float, reading_timeout_seconds: float
) -> float:
    """Return after which time silence of a response's head may show a fault.

    It does if the endpoint is also silent to other requests of this host.
    ``left_seconds`` are those until the request's deadline, and ``target_seconds`` is
    the latency target of its route.
    """
    timeout = max(target_seconds, MIN_INACTIVITY_SECONDS, reading_timeout_seconds)
    return min(last_head_timeout(left_seconds), timeout)


def last_head_timeout(left_seconds: float) -> float:
    """Return how long to wait for the head of a response, or for the first event.

    Half of the time is kept for another attempt.
    """
    return HEAD_WAIT_FRACTION * left_seconds


def event_timeout(gap_seconds: float, *, has_other_requests: bool) -> float:
    """Return how long an endpoint may pause between two events of a stream.

    ``gap_seconds`` is the longest pause that the route aims at. Without other requests
    of this host at the endpoint, only a pause longer than those of sound ones shows
    a fault.
    """
    shortest = MIN_INACTIVITY_SECONDS if has_other_requests else MAX_PAUSE_SECONDS
    return max(gap_seconds, shortest)
