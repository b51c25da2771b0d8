"""The lifecycle of a process as a state machine: starting, ready, leaving, closing, stopped.

A leaving process is no longer named in look-ups, but accepts requests of callers with a cached
look-up. A closing one refuses new requests and finishes those in flight.
"""

import typing as t

from automat import TypeMachineBuilder


class Lifecycle(t.Protocol):
    """Inputs and queries of the machine; an input that a state does not expect is ignored."""

    def prepared(self) -> None:
        """Report that the process has a configuration and can serve."""

    def stop(self) -> None:
        """Start a graceful stop; further calls have no effect."""

    def lookups_expired(self) -> None:
        """Report that callers' cached look-ups have expired."""

    def drained(self) -> None:
        """Report that no request is in flight, or that the stop must not wait longer."""

    def state(self) -> str:
        """Return the name of the current state."""

    def admits(self) -> bool:
        """Return whether new requests are accepted."""


class LifecycleActions(t.Protocol):
    """Actions of the owner on entering a state."""

    def on_ready(self) -> None:
        """Announce that this process serves callers."""

    def on_leaving(self) -> None:
        """Withdraw from look-ups."""

    def on_closing(self) -> None:
        """Refuse new requests and finish those in flight."""

    def on_stopped(self) -> None:
        """Release all resources and end the process."""


_builder = TypeMachineBuilder(Lifecycle, LifecycleActions)
_starting = _builder.state("starting")
_ready = _builder.state("ready")
_leaving = _builder.state("leaving")
_closing = _builder.state("closing")
_stopped = _builder.state("stopped")


@_starting.upon(Lifecycle.prepared).to(_ready)
def _become_ready(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_ready()


@_starting.upon(Lifecycle.stop).to(_leaving)
@_ready.upon(Lifecycle.stop).to(_leaving)
def _start_leaving(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_leaving()


@_leaving.upon(Lifecycle.lookups_expired).to(_closing)
def _start_closing(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_closing()


@_leaving.upon(Lifecycle.drained).to(_stopped)
@_closing.upon(Lifecycle.drained).to(_stopped)
def _stop(lifecycle: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_stopped()


_ADMITTING = ("ready", "leaving")
_IGNORED = {
    Lifecycle.prepared: (_ready, _leaving, _closing, _stopped),
    Lifecycle.stop: (_leaving, _closing, _stopped),
    Lifecycle.lookups_expired: (_starting, _ready, _closing, _stopped),
    Lifecycle.drained: (_starting, _ready, _stopped),
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
    _state.upon(Lifecycle.state).loop().returns(_name)
    _state.upon(Lifecycle.admits).loop().returns(_name in _ADMITTING)

make_lifecycle: t.Callable[[LifecycleActions], Lifecycle] = _builder.build()
