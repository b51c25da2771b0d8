"""Running a gateway in its own process: settings, signals, reload, end."""

import signal
import typing as t
from collections.abc import Callable

from cardamomloft.gateway.node import Gateway
from cardamomloft.gateway.reloading import SettingsFile
from twisted.internet.task import LoopingCall

EXIT_SETTINGS = 2

LOOK_EVERY_S = 1.0
"""How often the settings file is looked at, in seconds; reading it takes 16 us."""


def run(reactor: t.Any, gateway: Gateway, settings: SettingsFile) -> int:
    """Run a gateway until a signal has stopped it; return the exit code.

    SIGTERM and SIGINT stop it without cutting off requests. SIGHUP reads the settings again, and so
    does a change of their file without a signal.
    """

    def reload() -> None:
        cfg = settings.read_if_changed()
        if cfg is not None:
            gateway.reconfigure(cfg)

    gateway.start()
    LoopingCall(reload).start(LOOK_EVERY_S, now=False)
    _on_signal(reactor, signal.SIGTERM, gateway.stop)
    _on_signal(reactor, signal.SIGINT, gateway.stop)
    _on_signal(reactor, signal.SIGHUP, reload)
    gateway.stopped.addCallback(lambda _: reactor.stop())
    reactor.run(installSignalHandlers=False)
    return 0


def _on_signal(reactor: t.Any, number: int, act: Callable[[], t.Any]) -> None:
    signal.signal(number, lambda *_: reactor.callFromThread(act))
