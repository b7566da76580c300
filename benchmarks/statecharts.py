"""Compares the time of a request's lifecycle by compiled table and by sismic.

Prints the median of 300 lifecycles; checks no bound.
"""

from __future__ import annotations

import time
from importlib.resources import files
from statistics import median
from typing import TYPE_CHECKING

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from amaranthhollow.decisions.statechart import load_chart

if TYPE_CHECKING:
    from collections.abc import Callable

__all__: list[str] = []

EVENTS = ("admit", "dispatch", "stream", "answer")
ROUNDS = 300


def run_by_table() -> None:
    """Run one lifecycle with the compiled table."""
    chart = load_chart("request")
    state = chart.initial_state
    for event in EVENTS:
        state = chart.advance(state, event)


def run_by_sismic() -> None:
    """Run one lifecycle with sismic's interpreter."""
    interpreter = Interpreter(SISMIC_CHART)
    interpreter.execute()
    for event in EVENTS:
        interpreter.queue(event)
        interpreter.execute()


def microseconds(run_lifecycle: Callable[[], None]) -> float:
    """Return the median time of one lifecycle, in microseconds."""
    times = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        run_lifecycle()
        times.append(time.perf_counter() - started_at)
    return 1e6 * median(times)


SISMIC_CHART = import_from_yaml(
    files("amaranthhollow.statecharts").joinpath("request.yaml").read_text()
)
print(f"by table {microseconds(run_by_table):.2f} us a lifecycle")
print(f"by sismic {microseconds(run_by_sismic):.0f} us a lifecycle")
