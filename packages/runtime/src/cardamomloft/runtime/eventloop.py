"""The event loop of every process: its timers count elapsed time.

Twisted's own loops set timers by the time of day. When that goes back by 6 s, nothing is due for
6 s: no question to the store, no renewal of a lease, no timeout; when it goes ahead, every timeout
ends early. So the loop counts by the clock that the decisions use too.
"""

from cardamomloft.core.clock import elapsed_seconds
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor


class ElapsedTimeReactor(EPollReactor):
    """Twisted's epoll loop on a clock that is never set."""

    def seconds(self) -> float:
        """Return the instant by which timers are set and due, in seconds of elapsed time."""
        return elapsed_seconds()


def install_event_loop() -> None:
    """Make it the loop of this process; call it before anything imports `reactor`.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If another loop is installed already.
    """
    installReactor(ElapsedTimeReactor())
