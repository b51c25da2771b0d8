"""The event loop of every process, whose timers count elapsed time.

Twisted's reactors time their calls by the time of day: a step back delays every timer, a step
forward ends timeouts early. This reactor uses the same clock as the decisions.
"""

from cardamomloft.core.clock import elapsed_seconds
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class ElapsedTimeReactor(EPollReactor):
    """Twisted's epoll reactor on a clock that steps of the time of day do not change."""

    def seconds(self) -> float:
        """Return the current time of the reactor's timers, in seconds of elapsed time."""
        return elapsed_seconds()


def install_event_loop() -> None:
    """Install the reactor; must be called before anything imports `twisted.internet.reactor`.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If another reactor is installed already.
    """
    installReactor(ElapsedTimeReactor())
