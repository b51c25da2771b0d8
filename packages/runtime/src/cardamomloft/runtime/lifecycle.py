"""The life of an entry as a state machine: starting, ready, leaving, closing, stopped.

A leaving entry is no longer named in look-ups, but still takes what callers send who asked before;
a closing one refuses new work and finishes what it has.
"""

import typing as t

from automat import TypeMachineBuilder


class LifeCycle(t.Protocol):
    """Inputs of the machine. Inputs that a state does not expect are ignored."""

    def prepared(self) -> None:
        """The entry has a configuration and may serve."""

    def stop(self) -> None:
        """A planned stop was asked for; asking again changes nothing."""

    def lookups_expired(self) -> None:
        """Callers have had time to ask again and hear of other entries."""

    def drained(self) -> None:
        """No request is in flight any more, or the hard limit was reached."""

    def state(self) -> str:
        """Return the state's name."""

    def admits(self) -> bool:
        """Tell whether new work may be taken."""


class LifeActions(t.Protocol):
    """What the owner does on transitions."""

    def on_ready(self) -> None:
        """Tell peers that callers may come."""

    def on_leaving(self) -> None:
        """Leave the look-ups."""

    def on_closing(self) -> None:
        """Refuse new work, finish the old, hand the shares over."""

    def on_stopped(self) -> None:
        """Release everything and end the process."""


_builder = TypeMachineBuilder(LifeCycle, LifeActions)
_starting = _builder.state("starting")
_ready = _builder.state("ready")
_leaving = _builder.state("leaving")
_closing = _builder.state("closing")
_stopped = _builder.state("stopped")


@_starting.upon(LifeCycle.prepared).to(_ready)
def _become_ready(lifecycle: LifeCycle, actions: LifeActions) -> None:
    actions.on_ready()


@_starting.upon(LifeCycle.stop).to(_leaving)
@_ready.upon(LifeCycle.stop).to(_leaving)
def _leave(lifecycle: LifeCycle, actions: LifeActions) -> None:
    actions.on_leaving()


@_leaving.upon(LifeCycle.lookups_expired).to(_closing)
def _close(lifecycle: LifeCycle, actions: LifeActions) -> None:
    actions.on_closing()


@_leaving.upon(LifeCycle.drained).to(_stopped)
@_closing.upon(LifeCycle.drained).to(_stopped)
def _finish(lifecycle: LifeCycle, actions: LifeActions) -> None:
    actions.on_stopped()


_ADMITTING = ("ready", "leaving")
_IGNORED = {
    LifeCycle.prepared: (_ready, _leaving, _closing, _stopped),
    LifeCycle.stop: (_leaving, _closing, _stopped),
    LifeCycle.lookups_expired: (_starting, _ready, _closing, _stopped),
    LifeCycle.drained: (_starting, _ready, _stopped),
}
for _input, _states in _IGNORED.items():
    for _state in _states:
        _state.upon(_input).loop().returns(None)
for _name, _state in (
    ("starting", _starting),
    ("ready", _ready),
    ("leaving", _leaving),
    ("closing", _closing),
    ("stopped", _stopped),
):
    _state.upon(LifeCycle.state).loop().returns(_name)
    _state.upon(LifeCycle.admits).loop().returns(_name in _ADMITTING)

make_lifecycle: t.Callable[[LifeActions], LifeCycle] = _builder.build()
