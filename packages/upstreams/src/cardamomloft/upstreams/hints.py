"""Load reports of upstreams. They lag behind and may be wrong, so they are used as hints only."""

import typing as t

import msgspec
from expression import Error, Ok, Result

State = t.Literal["ready", "draining", "cold"]


class UpstreamLoad(t.NamedTuple):
    """Load report of one upstream; the receiver adds its age, counted from the request for it."""

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
    """Decode the body of an answer to ``GET /-/load``."""
    try:
        row = _loads.decode(raw)
    except (msgspec.DecodeError, ValueError) as exc:
        return Error(f"malformed load report: {exc}")
    return Ok(UpstreamLoad(row["running"], row["slots"], row["state"]))


def confirms_stopped(raw: bytes) -> bool:
    """Return whether an answer to ``DELETE /-/requests/<id>`` confirms that it is not running."""
    try:
        return not _running.decode(raw)["running"]
    except (msgspec.DecodeError, ValueError):
        return False
