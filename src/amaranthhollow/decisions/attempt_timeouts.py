"""How long an endpoint that sends nothing keeps a request that may be retried."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "MIN_INACTIVITY_SECONDS",
    "HeadDeadlines",
    "event_timeout",
    "head_deadlines",
]

# An endpoint that sent this host no data for this long may be unreachable.
MIN_INACTIVITY_SECONDS = 0.6
# A sound endpoint falls silent for up to a second or so.
MAX_PAUSE_SECONDS = 2.0
# The part of the time left after which a retryable request may be sent elsewhere.
HEAD_WAIT_FRACTION = 0.5
# Engines that also write read a prompt this much more slowly than alone, at most.
READING_TIME_MARGIN = 3.0


@dataclass(frozen=True)
class HeadDeadlines:
    """The times at which the head of a response that is still missing says something.

    At ``suspect_at`` it shows a fault if the endpoint is also silent to other requests
    of this host, at ``leave_at`` in any case.
    """

    suspect_at: float
    leave_at: float


def head_deadlines(
    sent_at: float,
    deadline: float,
    target_seconds: float,
    reading_seconds: float | None,
) -> HeadDeadlines:
    """Return how long an endpoint keeps a request that was sent at ``sent_at``.

    ``target_seconds`` is the latency target of the route. ``reading_seconds`` is the
    time that the engine needs alone for the prompts that it has, zero without prompts,
    and None if that is not known; half of the time to the deadline, which is kept for
    another attempt, then is the only bound. An engine that is left has read in vain,
    and the next one reads the prompt again. Example::

        head_deadlines(5.0, 15.0, 1.0, 0.6)  # suspect_at=6.8, leave_at=10.0
    """
    leave_at = sent_at + HEAD_WAIT_FRACTION * (deadline - sent_at)
    if reading_seconds is None:
        return HeadDeadlines(leave_at, leave_at)
    reading_timeout = READING_TIME_MARGIN * reading_seconds
    timeout = max(target_seconds, MIN_INACTIVITY_SECONDS, reading_timeout)
    return HeadDeadlines(min(leave_at, sent_at + timeout), leave_at)


def event_timeout(gap_seconds: float, *, has_other_requests: bool) -> float:
    """Return how long an endpoint may pause between two events of a stream.

    ``gap_seconds`` is the longest pause that the route aims at. Without other requests
    of this host at the endpoint, only a pause longer than those of sound ones shows
    a fault.
    """
    shortest = MIN_INACTIVITY_SECONDS if has_other_requests else MAX_PAUSE_SECONDS
    return max(gap_seconds, shortest)
