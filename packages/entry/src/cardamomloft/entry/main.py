"""The command `cardamomloft`: one entry process."""

import json
import pathlib
import random
import signal
import sys
import typing as t

import defopt
from cardamomloft.core.clock import SystemClock
from cardamomloft.entry.settings import EntrySettings, load_settings
from expression import Result

EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_BROKEN = 70


def entry(*, settings: pathlib.Path, check: bool = False) -> int:
    """Run one entry.

    Parameters
    ----------
    settings
        JSON file with this entry's settings.
    check
        Only check the settings, then exit.
    """
    match _load(settings):
        case Result(tag="error", error=mistakes):
            for mistake in mistakes:
                print(f"{settings}: {mistake}", file=sys.stderr)
            return EXIT_SETTINGS
        case Result(ok=cfg):
            pass
    if check:
        print(json.dumps({"settings": str(settings), "seat": cfg["seat"], "ok": True}))
        return 0
    return _run(cfg)


def _load(path: pathlib.Path) -> Result[EntrySettings, t.Any]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Result.Error((f"can't be read: {exc}",))
    return load_settings(text)


def _run(cfg: EntrySettings) -> int:
    # Imported here so that --check needs neither reactor nor sockets; the loop goes first, since
    # the others import it.
    from cardamomloft.runtime.eventloop import install_event_loop

    install_event_loop()
    from cardamomloft.entry.adapters import connect
    from cardamomloft.entry.node import EntryNode
    from cardamomloft.peers.node import BindError
    from cardamomloft.runtime.logs import start_logs
    from twisted.internet import error, reactor

    start_logs()
    node = EntryNode(reactor, cfg, SystemClock(), random.Random(), connect(reactor, cfg))
    try:
        node.start()
    except (BindError, error.CannotListenError) as exc:
        print(f"can't listen: {exc}", file=sys.stderr)
        return EXIT_ADDRESS

    def on_signal(*_: object) -> None:
        reactor.callFromThread(node.stop)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    outcome: list[int] = []

    def on_stopped(_: object, code: int) -> None:
        outcome.append(code)
        reactor.stop()

    node.stopped.addCallbacks(on_stopped, on_stopped, (0,), {}, (EXIT_BROKEN,), {})
    reactor.run(installSignalHandlers=False)
    return outcome[0] if outcome else 0


def main() -> None:
    """Run the command line."""
    sys.exit(defopt.run(entry))


if __name__ == "__main__":
    main()
