"""Runs a gateway in its own process, with signal handling and reload of the settings."""

import gc
import signal
import typing as t

from cardamomloft.gateway.node import Gateway
from cardamomloft.gateway.reloading import SettingsFile
from twisted.internet.task import LoopingCall

EXIT_SETTINGS = 2

SETTINGS_CHECK_INTERVAL_S = 1.0
"""Interval at which the settings file is checked for changes, in seconds. Reading it takes
16 us."""


def run(reactor: t.Any, gateway: Gateway, settings: SettingsFile) -> int:
    """Run a gateway until a signal has stopped it; return the exit code.

    SIGTERM and SIGINT start a graceful stop. The settings are read again on SIGHUP and whenever
    their file changes.
    """

    def reload() -> None:
        cfg = settings.read_if_changed()
        if cfg is not None:
            gateway.reconfigure(cfg)

    def stop(*_: t.Any) -> None:
        # The event loop may be busy; the time of the signal is taken before it continues.
        reactor.callFromThread(gateway.stop, gateway.announce_stop())

    gateway.start()
    LoopingCall(reload).start(SETTINGS_CHECK_INTERVAL_S, now=False)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    gateway.stopped.addCallback(lambda _: reactor.stop())
    exclude_start_from_collections()
    reactor.run(installSignalHandlers=False)
    return 0


def exclude_start_from_collections() -> None:
    """Exclude the objects of the start from garbage collections, after a last one.

    Nearly all are modules, classes and functions, which live as long as the process. A full
    collection visits 57,000 of them, and stops the event loop for 40 ms meanwhile.
    """
    gc.collect()
    gc.freeze()
