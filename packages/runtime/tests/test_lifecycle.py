"""The lifecycle state machine: transitions, and that no action happens twice."""

import itertools

import pytest
from cardamomloft.runtime.lifecycle import make_lifecycle

INPUTS = ("prepared", "stop", "lookups_expired", "drained")
ORDER = ("starting", "ready", "leaving", "closing", "stopped")


class Actions:
    def __init__(self):
        self.done = []

    def __getattr__(self, name):
        return lambda: self.done.append(name)


def play(*inputs):
    actions = Actions()
    lifecycle = make_lifecycle(actions)
    for name in inputs:
        getattr(lifecycle, name)()
    return lifecycle, actions.done


def test_a_planned_stop_goes_through_every_state():
    lifecycle, done = play("prepared", "stop", "lookups_expired", "drained")
    assert lifecycle.state() == "stopped"
    assert done == ["on_ready", "on_leaving", "on_closing", "on_stopped"]


@pytest.mark.parametrize(
    ("inputs", "state", "admits"),
    [
        ((), "starting", False),
        (("prepared",), "ready", True),
        (("prepared", "stop"), "leaving", True),
        (("prepared", "stop", "lookups_expired"), "closing", False),
        (("prepared", "stop", "drained"), "stopped", False),
        (("stop",), "leaving", True),
        (("stop", "prepared"), "leaving", True),
        (("prepared", "drained"), "ready", True),
    ],
)
def test_new_requests_are_accepted_in_ready_and_leaving_only(inputs, state, admits):
    lifecycle, _ = play(*inputs)
    assert (lifecycle.state(), lifecycle.admits()) == (state, admits)


def test_no_order_of_inputs_repeats_an_action_or_goes_back_a_state():
    for inputs in itertools.product(INPUTS, repeat=6):
        actions = Actions()
        lifecycle = make_lifecycle(actions)
        states = [lifecycle.state()]
        for name in inputs:
            getattr(lifecycle, name)()
            states.append(lifecycle.state())
        ranks = [ORDER.index(state) for state in states]
        assert ranks == sorted(ranks)
        assert len(actions.done) == len(set(actions.done))
        if lifecycle.state() == "stopped":
            assert actions.done[-1] == "on_stopped" and "on_leaving" in actions.done
