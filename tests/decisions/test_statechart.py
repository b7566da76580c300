"""The state charts are valid for sismic and agree with the transition tables."""

from __future__ import annotations

from importlib.resources import files

import pytest
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from amaranthhollow.decisions.statechart import UnexpectedEventError, load_chart

NAMES = ("request", "endpoint", "daemon", "submission")


@pytest.mark.parametrize("name", NAMES)
def test_table_agrees_with_sismic_on_every_transition(name):
    text = files("amaranthhollow.statecharts").joinpath(f"{name}.yaml").read_text()
    reference = import_from_yaml(text)
    chart = load_chart(name)
    for (state, event), target in chart.targets_by_transition.items():
        interpreter = Interpreter(reference)
        interpreter.execute()
        interpreter._configuration = {"root", state}
        interpreter.queue(event)
        interpreter.execute()
        is_ended = target in chart.final_states
        assert interpreter.final if is_ended else target in interpreter.configuration


@pytest.mark.parametrize("name", NAMES)
def test_every_state_is_reachable(name):
    chart = load_chart(name)
    reachable = {chart.initial_state}
    while True:
        following = {
            target
            for (state, _), target in chart.targets_by_transition.items()
            if state in reachable
        }
        if following <= reachable:
            break
        reachable |= following
    states = {state for state, _ in chart.targets_by_transition} | chart.final_states
    assert reachable == states


def test_unexpected_event_names_chart_state_and_event():
    with pytest.raises(UnexpectedEventError, match="'daemon'.*'stopped'.*'drain'"):
        load_chart("daemon").advance("stopped", "drain")
