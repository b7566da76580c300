"""Judges from when on the silence of an endpoint shows that it is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.attempt_timeouts import (
    MIN_INACTIVITY_SECONDS,
    HeadDeadlines,
    event_timeout,
    head_deadlines,
)
from amaranthhollow.serving.clock import now

if TYPE_CHECKING:
    from amaranthhollow.decisions.site import Route
    from amaranthhollow.serving.attempt import Attempt
    from amaranthhollow.serving.forwarder import Forwarder

__all__ = ["SilenceJudge"]


class SilenceJudge:
    """The silence of the endpoint of one attempt, as one host can judge it.

    Other requests of this host at the endpoint show sooner whether it is lost.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        attempt: Attempt,
        route: Route,
        deadline: float,
        reading_seconds: float | None,
    ) -> None:
        """Judge a sent ``attempt`` whose request ends at ``deadline``.

        ``reading_seconds`` is what the endpoint needs to read the prompts that it has,
        and None if that is not known.
        """
        self._forwarder = forwarder
        self._attempt = attempt
        self._gap_seconds = route.max_gap_seconds or route.latency_target_seconds
        self._deadline = deadline
        self._head_deadlines = head_deadlines(
            attempt.sent_at, deadline, route.latency_target_seconds, reading_seconds
        )

    @property
    def head_deadlines(self) -> HeadDeadlines:
        """The times at which a missing head may show, and shows, a fault."""
        return self._head_deadlines

    @property
    def has_other_requests(self) -> bool:
        """Whether this host would hear from a sound endpoint anyway."""
        chooser = self._forwarder.chooser
        return chooser.local_load(self._attempt.endpoint.host).requests > 1

    def is_silent_since_sent(self) -> bool:
        """Return whether the endpoint sent this host nothing since the request."""
        return self._is_inactive_since(self._attempt.sent_at)

    def is_silent(self) -> bool:
        """Return whether the endpoint sent this host nothing for a while."""
        return self._is_inactive_since(now() - MIN_INACTIVITY_SECONDS)

    def first_event_due_at(self) -> float:
        """Return the time from which on a missing first event shows a fault."""
        deadlines = self._head_deadlines
        due_at = deadlines.leave_at
        if self.has_other_requests:
            due_at = deadlines.suspect_at
        return max(now() + MIN_INACTIVITY_SECONDS, due_at)

    def next_event_due_at(self) -> float:
        """Return the time from which on a missing further event shows a fault."""
        timeout = event_timeout(
            self._gap_seconds, has_other_requests=self.has_other_requests
        )
        return min(self._deadline, now() + timeout)

    def _is_inactive_since(self, instant: float) -> bool:
        return self._forwarder.is_inactive_since(self._attempt.endpoint, instant)
