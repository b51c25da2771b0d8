"""The event loop of every process, whose timers count elapsed time.

Twisted's reactors schedule calls by the time of day: a step back delays every timer, a step forward
ends timeouts early. This reactor uses the elapsed-time clock that the decision code uses too.
"""

import typing as t

from cardamomloft.core.clock import elapsed_seconds
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class ElapsedTimeReactor(EPollReactor):
    """Twisted's epoll reactor with a clock that is not affected by steps of the time of day."""

    def seconds(self) -> float:
        """Return the current time of the reactor's timers, in seconds of elapsed time."""
        return elapsed_seconds()

    def _doReadOrWrite(self, selectable: t.Any, fd: int, event: int) -> None:  # noqa: N802
        # Another handler may have resumed reading since the poll, which then reported a reset
        # without data to read. The base class would take that for a clean end, and drop the data.
        if event & self._POLL_DISCONNECTED and fd in self._reads:
            event |= self._POLL_IN
        super()._doReadOrWrite(selectable, fd, event)


def install_event_loop() -> None:
    """Install the reactor; must be called before anything imports `twisted.internet.reactor`.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If another reactor is installed already.
    """
    installReactor(ElapsedTimeReactor())
