"""What following a request through its chart costs: by table and by sismic."""

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


def by_table() -> None:
    """Follow one request by the compiled table."""
    chart = load_chart("request")
    state = chart.initial_state
    for event in EVENTS:
        state = chart.advance(state, event)


def by_sismic() -> None:
    """Follow one request by sismic's interpreter."""
    interpreter = Interpreter(REFERENCE)
    interpreter.execute()
    for event in EVENTS:
        interpreter.queue(event)
        interpreter.execute()


def microseconds(follow: Callable[[], None]) -> float:
    """Return the median time of one lifecycle."""
    times = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        follow()
        times.append(time.perf_counter() - started_at)
    return 1e6 * median(times)


REFERENCE = import_from_yaml(
    files("amaranthhollow.statecharts").joinpath("request.yaml").read_text()
)
print(f"by table {microseconds(by_table):.2f} us a lifecycle")
print(f"by sismic {microseconds(by_sismic):.0f} us a lifecycle")
