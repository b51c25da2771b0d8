"""The life of an entry: which input leads where, and that nothing happens twice."""

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
    life = make_lifecycle(actions)
    for name in inputs:
        getattr(life, name)()
    return life, actions.done


def test_a_planned_stop_goes_through_every_state():
    life, done = play("prepared", "stop", "lookups_expired", "drained")
    assert life.state() == "stopped"
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
def test_what_each_state_admits(inputs, state, admits):
    life, _ = play(*inputs)
    assert (life.state(), life.admits()) == (state, admits)


def test_whatever_comes_in_any_order_no_action_is_done_twice_and_no_state_goes_back():
    for inputs in itertools.product(INPUTS, repeat=6):
        actions = Actions()
        life = make_lifecycle(actions)
        states = [life.state()]
        for name in inputs:
            getattr(life, name)()
            states.append(life.state())
        ranks = [ORDER.index(state) for state in states]
        assert ranks == sorted(ranks)
        assert len(actions.done) == len(set(actions.done))
        if life.state() == "stopped":
            assert actions.done[-1] == "on_stopped" and "on_leaving" in actions.done
