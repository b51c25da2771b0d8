"""Running one command: settings, surroundings, the loop, output and exit code."""

import getpass
import os
import sys
import typing as t
from collections.abc import Callable, Coroutine, Iterable
from pathlib import Path

from cardamomloft.core.clock import SystemClock
from cardamomloft.operators.fleet import HttpFleet
from cardamomloft.operators.outcomes import ExitCode, Failure, Outcome
from cardamomloft.operators.rendering import as_json, wrap
from cardamomloft.operators.session import Session
from cardamomloft.operators.settings import Settings, address_of, load_settings
from cardamomloft.runtime.eventloop import install_event_loop
from cardamomloft.store.keyvalue import HttpStore
from cardamomloft.store.vms import HttpVmList
from expression import Error, Ok, Result
from twisted.internet import defer, task

INTERRUPTED = 130

Finished = Result[Outcome, Failure]
Command = Callable[[Session], Coroutine[t.Any, t.Any, Finished]]


class Options(t.NamedTuple):
    """Options that every command has."""

    store: str | None
    vms: str | None
    entry: list[str]
    settings: Path | None
    json: bool


class ConsoleOutput:
    """Output to the terminal, or one JSON object at the end; problems go to standard error."""

    def __init__(self, as_object: bool) -> None:
        self._as_object = as_object

    def say(self, *lines: str) -> None:
        """Show progress and results; silent when the result goes to a program."""
        if not self._as_object:
            _print(lines, sys.stdout)

    def warn(self, *lines: str) -> None:
        """Show what needs attention."""
        _print(lines, sys.stderr)

    def finish(self, finished: Finished) -> ExitCode:
        """Print the end of a command and return its exit code."""
        match finished:
            case Result(tag="error", error=failure):
                self.warn(f"cardamomctl: {failure.text}", *failure.lines)
                code = failure.code
                payload = {"outcome": code.name.lower(), "error": failure.text} | {
                    **failure.payload
                }
            case Result(ok=Outcome(code, payload)):
                pass
        if self._as_object:
            _print([as_json({**payload, "exit": int(code)})], sys.stdout)
        return code


def _print(lines: Iterable[str], stream: t.TextIO) -> None:
    # Who reads the output may leave early; the command goes on, as it may have begun to write.
    try:
        for line in lines:
            print(*wrap(line), sep="\n", file=stream, flush=True)
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())


def read_text(path: Path) -> Result[str, Failure]:
    """Read a file that an operator names."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return Error(Failure(ExitCode.REFUSED, f"{path} cannot be read: {exc}"))


def execute(options: Options, command: Command) -> t.NoReturn:
    """Run one command and end the process with its exit code."""
    streams = ConsoleOutput(options.json)
    match _settings(options):
        case Result(tag="error", error=failure):
            sys.exit(streams.finish(Error(failure)))
        case Result(ok=settings):
            sys.exit(_run_loop(settings, streams, command))


def _run_loop(settings: Settings, streams: ConsoleOutput, command: Command) -> int:
    finished: list[Finished] = []

    async def run(reactor: t.Any) -> None:
        finished.append(await command(_session(reactor, settings, streams)))

    install_event_loop()
    try:
        task.react(lambda reactor: defer.ensureDeferred(run(reactor)))
    except SystemExit as exc:
        if finished:
            return streams.finish(finished[0])
        if exc.code:
            return t.cast(int, exc.code)
    streams.warn("cardamomctl: interrupted; what was recorded stays recorded")
    return INTERRUPTED


def _session(reactor: t.Any, settings: Settings, streams: ConsoleOutput) -> Session:
    store, vms = settings.get("store"), settings.get("vms")
    return Session(
        store=HttpStore(reactor, address_of(store)) if store is not None else None,
        vms=HttpVmList(reactor, address_of(vms)) if vms is not None else None,
        fleet=HttpFleet(reactor),
        clock=SystemClock(),
        sleep=lambda span: task.deferLater(reactor, span.total_seconds()),
        console=streams,
        who=settings.get("who") or _login_name(),
        known_entries=tuple(settings.get("entries", ())),
    )


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _settings(options: Options) -> Result[Settings, Failure]:
    given = {
        "store": options.store,
        "vms": options.vms,
        "entries": options.entry or None,
    }
    stated = t.cast(Settings, {key: value for key, value in given.items() if value is not None})
    if options.settings is None:
        return load_settings(None, stated)
    return read_text(options.settings).bind(lambda text: load_settings(text, stated))
