"""The command line of ``cardamomctl``: options, surroundings, output, exit code."""

import inspect
import typing as t
import uuid
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta
from pathlib import Path

import defopt
from cardamomloft.core.document import DrainKind
from cardamomloft.core.references import parse_instant
from cardamomloft.operators import applying, clientmap, planning, reporting
from cardamomloft.operators.applying import Intent
from cardamomloft.operators.editing import Move
from cardamomloft.operators.outcomes import ExitCode, Failure
from cardamomloft.operators.planning import Drain
from cardamomloft.operators.running import Command, Finished, Options, execute, read_text
from cardamomloft.operators.session import Session
from expression import Error, Result

APPLY_WAIT_S = 30.0
DRAIN_WAIT_S = 600.0
MAX_NUMBER = 1_000_000


class Reason(str):
    """Why a change is made; it is never empty."""


def command(body: Callable[..., Command]) -> Callable[..., t.NoReturn]:
    """Make a command-line function of `body`: add the common options, run what it returns."""

    def run(*args: t.Any, **given: t.Any) -> t.NoReturn:
        options = Options(**{name: given.pop(name) for name in Options._fields})
        execute(options, body(*args, **given))

    own, common = inspect.signature(body), inspect.signature(_common)
    parameters = [*own.parameters.values(), *common.parameters.values()]
    run.__name__ = body.__name__
    run.__doc__ = _with_common_doc(inspect.cleandoc(body.__doc__ or ""))
    run.__annotations__ = {**body.__annotations__, **_common.__annotations__}
    run.__signature__ = own.replace(parameters=parameters)  # type: ignore[attr-defined]
    return run


def _common(
    *,
    store: str | None = None,
    vms: str | None = None,
    entry: list[str] | None = None,
    settings: Path | None = None,
    json: bool = False,
) -> None:
    """Hold the options that every command has.

    Parameters
    ----------
    store
        The configuration store, http://IP:PORT.
    vms
        The platform's list of VMs, http://IP:PORT.
    entry
        Operators' addresses IP:PORT of entries to ask while the store is away.
    settings
        A JSON file with store, vms, entries and who; options go before it.
    json
        Print one JSON object in place of text.
    """


def _common_doc() -> str:
    return "\n" + inspect.cleandoc(_common.__doc__ or "").partition("----------\n")[2]


def _with_common_doc(doc: str) -> str:
    heading = "" if "\nParameters\n" in doc else "\n\nParameters\n----------"
    return doc + heading + _common_doc()


@command
def check(file: Path) -> Command:
    """Check a configuration file and list every mistake with its path.

    Parameters
    ----------
    file
        The configuration document, JSON.
    """
    return _with_text(file, applying.check)


@command
def publish(file: Path, *, default: str) -> Command:
    """Put a client-block map into the store and print the part of the document that names it.

    Parameters
    ----------
    file
        JSON object from client block to site.
    default
        The site of addresses in no block.
    """
    return _with_text(file, lambda session, text: clientmap.publish(session, text, default))


@command
def plan(file: Path) -> Command:
    """Show what applying a file would change; write nothing.

    Parameters
    ----------
    file
        The configuration document, JSON.
    """
    return _with_text(file, applying.plan)


@command
def apply(
    file: Path,
    *,
    why: Reason,
    who: str | None = None,
    change: str | None = None,
    base: int | None = None,
    wait: float = APPLY_WAIT_S,
) -> Command:
    """Record a file as the next revision and wait until every entry has it in force.

    Parameters
    ----------
    file
        The configuration document, JSON.
    why
        The reason, for the audit trail.
    who
        Who makes the change; the login name if not given.
    change
        The id of a change whose outcome is not known, to find or finish it.
    base
        The revision that the file was edited from; any later one is a conflict.
    wait
        Seconds to wait for acceptance.
    """

    def run(session: Session) -> Coroutine[t.Any, t.Any, Finished]:
        intent = _intent(session, who, why, change)
        return _with_text(
            file, lambda session, text: applying.apply(session, text, intent, _seconds(wait), base)
        )(session)

    return run


@command
def drain(
    kind: DrainKind,
    name: str,
    *,
    why: Reason,
    at: datetime | None = None,
    undo: bool = False,
    who: str | None = None,
    change: str | None = None,
    wait: float = DRAIN_WAIT_S,
) -> Command:
    """Drain a region, zone, upstream or entry, and wait until nothing is in flight there.

    Parameters
    ----------
    kind
        What is drained.
    name
        Its name in the configuration.
    why
        The reason, for the audit trail.
    at
        When the drain starts, ISO 8601 with offset from UTC; now if not given.
    undo
        Take the drain back.
    who
        Who makes the change; the login name if not given.
    change
        The id of a change whose outcome is not known, to find or finish it.
    wait
        Seconds to wait for acceptance and for the drain to be done.
    """
    asked = Drain(kind, name, at, undo)
    return lambda session: planning.drain(
        session, asked, _intent(session, who, why, change), _seconds(wait)
    )


@command
def move(
    service: str,
    origin: str,
    target: str,
    *,
    why: Reason,
    percent: float | None = None,
    cap: float | None = None,
    undo: bool = False,
    who: str | None = None,
    change: str | None = None,
    wait: float = APPLY_WAIT_S,
) -> Command:
    """Move part of a service's traffic from one zone to another under a cap.

    Parameters
    ----------
    service
        The service whose traffic moves.
    origin
        The zone that the traffic leaves.
    target
        The zone that the traffic goes to.
    why
        The reason, for the audit trail.
    percent
        How much of the origin's traffic moves; needed unless the move is taken back.
    cap
        Percent per second at most; the service's own cap if not given.
    undo
        Take the move back.
    who
        Who makes the change; the login name if not given.
    change
        The id of a change whose outcome is not known, to find or finish it.
    wait
        Seconds to wait for acceptance.
    """
    asked = Move(service, origin, target, percent or 0.0, cap)
    if percent is None and not undo:
        return _ends_with(Failure(ExitCode.USAGE, "--percent is needed, unless --undo is given"))
    return lambda session: planning.move(
        session, asked, undo, _intent(session, who, why, change), _seconds(wait)
    )


@command
def status() -> Command:
    """Show who has which revision, the headroom of services, drains and moves."""
    return reporting.status


@command
def audit(*, last: int = 10, verify: bool = False) -> Command:
    """Show the latest changes: who, when, why and what.

    Parameters
    ----------
    last
        How many changes to show.
    verify
        Check the whole chain of changes.
    """
    if last < 1:
        return _ends_with(Failure(ExitCode.USAGE, "--last must be at least 1"))
    return lambda session: reporting.audit(session, last, verify)


@command
def explain(
    method: str,
    path: str,
    *,
    client: str | None = None,
    zone: str | None = None,
    header: list[str] | None = None,
) -> Command:
    """Show which rule decides about a request, and why not the ones before it.

    Parameters
    ----------
    method
        The request's method.
    path
        The request's path.
    client
        The caller's IPv4 address.
    zone
        The availability zone of the entry; all zones if not given.
    header
        Headers of the request as NAME=VALUE.
    """
    headers = {}
    for text in header or []:
        name, separator, value = text.partition("=")
        if not separator or not name:
            return _ends_with(Failure(ExitCode.USAGE, f"--header {text!r} is not NAME=VALUE"))
        headers[name.lower()] = value
    return lambda session: reporting.explain(session, method, path, client, zone, headers)


COMMANDS = [check, publish, plan, apply, drain, move, status, audit, explain]


def bind(argv: list[str] | None = None) -> Callable[[], t.Any]:
    """Parse a command line into the call that runs it; a faulty one ends the process with 2."""
    return defopt.bind(
        COMMANDS,
        argv=argv,
        short={},
        parsers={datetime: _read_instant, float: _read_number, Reason: _read_reason},
        show_defaults=False,
        no_negated_flags=True,
        version=False,
        argparse_kwargs={"prog": "cardamomctl"},
    )


def main() -> None:
    """Run the command line of this process."""
    bind()()


def _read_instant(text: str) -> datetime:
    instant = parse_instant(text)
    if instant is None:
        raise ValueError("needs ISO 8601 with an offset from UTC")
    return instant


def _read_reason(text: str) -> Reason:
    if not text.strip():
        raise ValueError("needs a reason")
    return Reason(text)


def _read_number(text: str) -> float:
    number = float(text)
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"needs a number from 0 to {MAX_NUMBER}")
    return number


def _seconds(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def _intent(session: Session, who: str | None, why: str, change: str | None) -> Intent:
    return Intent(who or session.who, why, change or uuid.uuid4().hex)


def _ends_with(failure: Failure) -> Command:
    async def run(session: Session) -> Finished:
        return Error(failure)

    return run


def _with_text(
    file: Path, body: Callable[[Session, str], Coroutine[t.Any, t.Any, Finished]]
) -> Command:
    match read_text(file):
        case Result(tag="error", error=failure):
            return _ends_with(failure)
        case Result(ok=text):
            return lambda session: body(session, text)
    raise AssertionError("a result is neither ok nor error")
