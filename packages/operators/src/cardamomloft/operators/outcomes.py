"""Results of commands: exit codes, failures and outcomes."""

import enum
import typing as t


class ExitCode(enum.IntEnum):
    """Exit codes of the command; a stable interface for scripts."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    RECORDED = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    DRAINING = 7


class Failure(t.NamedTuple):
    """Why a command failed; `lines` give details, `payload` holds them for ``--json``."""

    code: ExitCode
    text: str
    lines: tuple[str, ...] = ()
    payload: t.Mapping[str, t.Any] = {}


class Outcome(t.NamedTuple):
    """Result of a command that did not fail; `payload` is what ``--json`` prints."""

    code: ExitCode
    payload: t.Mapping[str, t.Any]


def unavailable(detail: str) -> Failure:
    """Return the failure for an unavailable store, with nothing written yet."""
    text = f"the configuration store is unavailable: {detail}"
    return Failure(ExitCode.UNAVAILABLE, text)


def with_nothing_written(failure: Failure) -> Failure:
    """Add to an `UNAVAILABLE` failure that the configuration was not changed."""
    if failure.code is not ExitCode.UNAVAILABLE:
        return failure
    return failure._replace(text=f"{failure.text}; nothing was written")
