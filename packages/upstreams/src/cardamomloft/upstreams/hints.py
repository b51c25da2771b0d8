"""Load reports that upstreams give about themselves: hints, since they lag and may mislead."""

import typing as t

import msgspec
from expression import Error, Ok, Result

State = t.Literal["ready", "draining", "cold"]


class UpstreamLoad(t.NamedTuple):
    """One upstream's report; the receiver adds its age, counted from before it asked."""

    running: int
    slots: int
    state: State


class _LoadRow(t.TypedDict):
    running: t.Annotated[int, msgspec.Meta(ge=0)]
    slots: t.Annotated[int, msgspec.Meta(ge=0)]
    state: State


class _RunningRow(t.TypedDict):
    running: bool


_loads = msgspec.json.Decoder(_LoadRow)
_running = msgspec.json.Decoder(_RunningRow)


def parse_load(raw: bytes) -> Result[UpstreamLoad, str]:
    """Read the body of ``GET /-/load``."""
    try:
        row = _loads.decode(raw)
    except (msgspec.DecodeError, ValueError) as exc:
        return Error(f"not a load report: {exc}")
    return Ok(UpstreamLoad(row["running"], row["slots"], row["state"]))


def confirms_stopped(raw: bytes) -> bool:
    """Return whether the body of ``DELETE /-/requests/<id>`` says that it no longer runs."""
    try:
        return not _running.decode(raw)["running"]
    except (msgspec.DecodeError, ValueError):
        return False
