"""Follows requests through the chart ``request``."""

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
    """The state of one request; open ones are counted by state for the dump."""

    def __init__(self, node: Node, workspace: str, deployment: str) -> None:
        """Count a request of ``workspace`` that was received for ``deployment``."""
        self._node = node
        self.workspace = workspace
        self.deployment = deployment
        self._is_admitted = False
        self._chart = load_chart("request")
        self.state = self._chart.initial_state
        node.requests_by_state[self.state] += 1

    def advance(self, event: str) -> None:
        """Move on; an event that the chart does not accept is a defect."""
        before, self.state = self.state, self._chart.advance(self.state, event)
        self._node.requests_by_state[before] -= 1
        self._count_share()
        if self.state in self._chart.final_states:
            self._node.counters.increment(f"requests.{self.state}")
        else:
            self._node.requests_by_state[self.state] += 1

    def _count_share(self) -> None:
        """Take part in the sharing of the deployment from admission to the end."""
        share = self._node.fair_share(self.deployment)
        if self.state == "admitted" and not self._is_admitted:
            self._is_admitted = True
            share.record_started(self.workspace)
        elif self._is_admitted and self.state in self._chart.final_states:
            share.record_ended(self.workspace)

    def end(self, outcome: Outcome) -> None:
        """End without an answer."""
        self.advance(_EVENTS_BY_OUTCOME[outcome])
