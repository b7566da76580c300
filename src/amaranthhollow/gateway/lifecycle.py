"""The lifecycle of a request, as the state chart ``request`` defines it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthhollow.decisions.retries import Outcome
from amaranthhollow.decisions.statechart import load_chart

if TYPE_CHECKING:
    from amaranthhollow.daemon.node import Node

__all__ = ["RequestLifecycle"]

_EVENTS_BY_OUTCOME = {
    Outcome.NOT_RUN: "refuse",
    Outcome.UNKNOWN: "lose_answer",
    Outcome.FAILED: "fail",
}


class RequestLifecycle:
    """The state of one request; the state dump counts open requests by state."""

    def __init__(self, node: Node, workspace: str, deployment: str) -> None:
        """Start in the initial state, for a request that was just received."""
        self._node = node
        self.workspace = workspace
        self.deployment = deployment
        self._is_admitted = False
        self._chart = load_chart("request")
        self.state = self._chart.initial_state
        node.requests_by_state[self.state] += 1

    def advance(self, event: str) -> None:
        """Apply ``event``, which the chart must accept in the current state."""
        previous, self.state = self.state, self._chart.advance(self.state, event)
        self._node.requests_by_state[previous] -= 1
        self._update_fair_share()
        if self.state in self._chart.final_states:
            self._node.counters.increment(f"requests.{self.state}")
        else:
            self._node.requests_by_state[self.state] += 1

    def _update_fair_share(self) -> None:
        """Count the request in the deployment's fair share while it is admitted."""
        share = self._node.fair_share(self.deployment)
        if self.state == "admitted" and not self._is_admitted:
            self._is_admitted = True
            share.record_started(self.workspace)
        elif self._is_admitted and self.state in self._chart.final_states:
            share.record_ended(self.workspace)

    def end(self, outcome: Outcome) -> None:
        """End the request without an answer."""
        self.advance(_EVENTS_BY_OUTCOME[outcome])
