"""Loads flat state charts from files as transition tables."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from pathlib import Path

import msgspec

__all__ = ["Chart", "UnexpectedEventError", "load_chart"]

CHARTS_FOLDER = Path(__file__).parents[1] / "statecharts"


class UnexpectedEventError(Exception):
    """Raised for an event that has no transition from the current state."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(f"chart {chart!r}: state {state!r} does not accept {event!r}")


@dataclass(frozen=True)
class Chart:
    """A state chart without nested states, as a transition table.

    The files are in sismic's YAML format, restricted to the syntax of JSON, which loads
    without a YAML parser. At run time a table lookup is used instead
    of sismic's interpreter; the tests check the tables against sismic.

    Example::

        chart = load_chart("daemon")
        chart.advance("starting", "configured")  # "ready"
    """

    name: str
    initial_state: str
    final_states: frozenset[str]
    targets_by_transition: dict[tuple[str, str], str]

    def advance(self, state: str, event: str) -> str:
        """Return the next state; raises UnexpectedEventError without a transition."""
        try:
            return self.targets_by_transition[state, event]
        except KeyError:
            raise UnexpectedEventError(self.name, state, event) from None

    def accepts(self, state: str, event: str) -> bool:
        """Whether ``state`` has a transition for ``event``."""
        return (state, event) in self.targets_by_transition


@cache
def load_chart(name: str) -> Chart:
    """Load the chart ``name`` from the ``amaranthhollow.statecharts`` package."""
    text = (CHARTS_FOLDER / f"{name}.yaml").read_bytes()
    root = msgspec.json.decode(text)["statechart"]["root state"]
    return Chart(
        name=name,
        initial_state=root["initial"],
        final_states=frozenset(
            s["name"] for s in root["states"] if s.get("type") == "final"
        ),
        targets_by_transition={
            (state["name"], transition["event"]): transition["target"]
            for state in root["states"]
            for transition in state.get("transitions", ())
        },
    )
