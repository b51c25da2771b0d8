"""Settings of one gateway: who it is, where it listens, and the bounds that the operators promise.

What operators change while it runs (rules, services, drains) is in the control store instead.
"""

import typing as t
from datetime import timedelta
from typing import NotRequired

from cardamomloft.core.checking import load_typed
from cardamomloft.core.document import Address, Mistake
from cardamomloft.gateway.durations import PATTERN, parse_duration
from expression import Result
from pydantic import ConfigDict, Field, with_config
from typing_extensions import TypedDict

_strict = with_config(ConfigDict(extra="forbid", strict=True))

Label = t.Annotated[str, Field(min_length=1, max_length=200)]
DurationText = t.Annotated[str, Field(pattern=PATTERN)]
Ratio = t.Annotated[float, Field(ge=0, le=100)]


@_strict
class RetrySettings(TypedDict):
    """Repeats that all entries together may send to one service in any `window`.

    They are at most `ratio` times its requests, plus `slack`.
    """

    ratio: Ratio
    slack: t.Annotated[float, Field(ge=0)]
    window: DurationText


@_strict
class ColdSettings(TypedDict):
    """A cold endpoint bears its service's rate times `overage`, plus `slack`, in a second."""

    overage: Ratio
    slack: t.Annotated[float, Field(ge=0)]


@_strict
class GatewaySettings(TypedDict):
    """Settings of one gateway.

    `zones` gives the region of each zone. `stop_time` is how long a stop may take until the
    process is killed, `drain_time` how soon a leaving endpoint must get nothing more, and
    `lookup_life` how long callers may keep the answer to a look-up. `peers` is where it talks
    with other entries; without it the entry asks the store by itself. `record_life` is how long the
    record of an entry that died stays in the store; stores have a least time for it.
    """

    name: Label
    zone: Label
    region: Label
    zones: dict[Label, Label]
    callers: Address
    readiness: Address
    lookups: Address
    operators: Address
    peers: NotRequired[Address]
    store: Address
    stop_time: DurationText
    drain_time: DurationText
    lookup_life: DurationText
    record_life: NotRequired[DurationText]
    retries: RetrySettings
    cold: ColdSettings


class Bounds(t.NamedTuple):
    """The bounds of the settings, as values."""

    stop_time: timedelta
    drain_time: timedelta
    lookup_life: timedelta
    record_life: timedelta
    retry_window: timedelta


RECORD_LIFE = "3s"
"""Life of an entry's record unless the settings say another: look-ups go on naming an entry that
died that long, and half of it is the time between two renewals."""

FIXED = (
    "name",
    "zone",
    "region",
    "callers",
    "readiness",
    "lookups",
    "operators",
    "peers",
    "store",
)
"""Settings that need a new start: who the process is, and the addresses that it holds."""


def load_settings(text: str) -> Result[GatewaySettings, tuple[Mistake, ...]]:
    """Check a settings file's text.

    Returns
    -------
    Result
        The settings, or every mistake with its path.
    """
    return load_typed(GatewaySettings, text)


def bounds_of(cfg: GatewaySettings) -> Bounds:
    """Return the bounds of checked settings."""
    return Bounds(
        stop_time=parse_duration(cfg["stop_time"]),
        drain_time=parse_duration(cfg["drain_time"]),
        lookup_life=parse_duration(cfg["lookup_life"]),
        record_life=parse_duration(cfg.get("record_life", RECORD_LIFE)),
        retry_window=parse_duration(cfg["retries"]["window"]),
    )
