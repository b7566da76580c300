"""Interprets flat state charts from YAML files as compiled transition tables."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cache
from importlib.resources import files

import yaml

__all__ = ["Chart", "UnexpectedEventError", "load_chart"]


class UnexpectedEventError(Exception):
    """An event arrived in a state that has no transition for it."""

    def __init__(self, chart: str, state: str, event: str) -> None:
        super().__init__(f"chart {chart!r}: state {state!r} does not accept {event!r}")


@dataclass(frozen=True)
class Chart:
    """A state chart without nesting, as a table of transitions.

    The file is in sismic's YAML format. A table look-up replaces sismic's
    interpreter at run time; the tests validate the files with sismic.

    Example::

        chart = load_chart("daemon")
        chart.advance("starting", "configured")  # "ready"
    """

    name: str
    initial: str
    finals: frozenset[str]
    targets_by_transition: dict[tuple[str, str], str]

    def advance(self, state: str, event: str) -> str:
        """Return the state that follows; raise UnexpectedEventError if none does."""
        try:
            return self.targets_by_transition[state, event]
        except KeyError:
            raise UnexpectedEventError(self.name, state, event) from None

    def accepts(self, state: str, event: str) -> bool:
        """Tell whether ``event`` leads anywhere from ``state``."""
        return (state, event) in self.targets_by_transition


@cache
def load_chart(name: str) -> Chart:
    """Load the chart ``name`` from the package's ``statecharts`` folder."""
    text = files("amaranthhollow.statecharts").joinpath(f"{name}.yaml").read_text()
    root = yaml.safe_load(text)["statechart"]["root state"]
    return Chart(
        name=name,
        initial=root["initial"],
        finals=frozenset(s["name"] for s in root["states"] if s.get("type") == "final"),
        targets_by_transition={
            (state["name"], transition["event"]): transition["target"]
            for state in root["states"]
            for transition in state.get("transitions", ())
        },
    )
