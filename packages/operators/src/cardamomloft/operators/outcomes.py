"""What a command ends with: exit codes, failures and results."""

import enum
import typing as t


class ExitCode(enum.IntEnum):
    """Exit codes of the command; scripts may rely on them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    RECORDED = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    DRAINING = 7


class Failure(t.NamedTuple):
    """Why a command stopped; `lines` explain, `payload` is the same for programs."""

    code: ExitCode
    text: str
    lines: tuple[str, ...] = ()
    payload: t.Mapping[str, t.Any] = {}


class Outcome(t.NamedTuple):
    """How a command ended; `payload` is what ``--json`` prints."""

    code: ExitCode
    payload: t.Mapping[str, t.Any]


def unavailable(detail: str) -> Failure:
    """Return the failure of a store that could not be asked, before anything was written."""
    text = f"the configuration store is unavailable: {detail}"
    return Failure(ExitCode.UNAVAILABLE, text)


def unwritten(failure: Failure) -> Failure:
    """Return the failure of a command that was to change the configuration and did not."""
    if failure.code is not ExitCode.UNAVAILABLE:
        return failure
    return failure._replace(text=f"{failure.text}; nothing was written")
