"""Settings of one gateway: its identity, its addresses, and the time limits set by the operators.

Rules, services and drains, which operators change while it runs, are in the control store.
"""

import typing as t
from datetime import timedelta
from typing import NotRequired

from cardamomloft.core.coldness.limits import ColdLimit
from cardamomloft.core.document import Address, Mistake
from cardamomloft.core.fields import Limits, strict
from cardamomloft.core.recordlease import LAPSED_SHARE_TIME
from cardamomloft.core.typedjson import load_typed
from cardamomloft.gateway.durations import PATTERN, parse_duration
from expression import Result
from typing_extensions import TypedDict

Label = t.Annotated[str, Limits(min_length=1, max_length=200)]
DurationText = t.Annotated[str, Limits(pattern=PATTERN)]
Ratio = t.Annotated[float, Limits(ge=0, le=100)]
Port = t.Annotated[int, Limits(ge=0, le=65_535)]


@strict
class RetrySettings(TypedDict):
    """Limit on the retries that all entries together send to one service in any `window`.

    It is `ratio` times the service's requests, plus `slack`.
    """

    ratio: Ratio
    slack: t.Annotated[float, Limits(ge=0)]
    window: DurationText


@strict
class ColdSettings(TypedDict):
    """Limit on the requests per second that all entries together send to a cold endpoint.

    It is `overage` times the cold rate of its service, plus `slack`.
    """

    overage: Ratio
    slack: t.Annotated[float, Limits(ge=0)]


@strict
class QuotaSettings(TypedDict):
    """How far the requests of a client account at all entries together may exceed its quota.

    In any `window` the quota allows ``rate * window + burst`` requests. `overage` times as many
    again and `slack` requests more are tolerated.
    """

    window: DurationText
    overage: Ratio
    slack: t.Annotated[float, Limits(ge=0)]


@strict
class ProxySettings(TypedDict):
    """Where a gateway accepts requests that other gateways can't send to endpoints.

    It listens on the first free port of `ports`, which are the first and the last of a range.
    """

    ip: t.Annotated[str, Limits(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
    ports: t.Annotated[list[Port], Limits(min_length=2, max_length=2)]


@strict
class GatewaySettings(TypedDict):
    """Settings of one gateway.

    `zones` gives the region of each zone. `stop_time` is the time between the signal to stop and
    the end of the process by force, `drain_time` the time within which a leaving endpoint gets no
    more requests, and `lookup_life` the time for which callers may cache a look-up. `peers` is the
    address for other gateways; without it the gateway takes changes from the store only. Without
    `proxy` it serves no requests of other gateways, though they may serve its own.
    `record_life` is how long the record of a failed entry stays in the store; stores have a minimum
    for it. Within `revocation_time` after a key was withdrawn, no gateway accepts it, even without
    contact to the store; if it is missing, such a gateway accepts the keys that it knows. Without
    `quotas`, the quotas of client accounts are not enforced. `features` names what is switched on
    for this deployment; names of features that this version lacks are ignored.
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
    proxy: NotRequired[ProxySettings]
    store: Address
    stop_time: DurationText
    drain_time: DurationText
    lookup_life: DurationText
    record_life: NotRequired[DurationText]
    retries: RetrySettings
    cold: ColdSettings
    revocation_time: NotRequired[DurationText]
    quotas: NotRequired[QuotaSettings]
    features: NotRequired[list[Label]]


PRESSURE_FEATURE = "pressure"
"""Feature of deployments whose demand exceeds the room of their endpoints at times: gateways share
the loads of all services."""

QUEUE_FEATURE = "queue"
"""Feature that holds requests without capacity in a queue at the gateway. It is separate, as the
queue serves more urgent requests first at the expense of the number that is served in time."""


class Bounds(t.NamedTuple):
    """The time limits of the settings, parsed."""

    stop_time: timedelta
    drain_time: timedelta
    lookup_ttl: timedelta
    record_ttl: timedelta
    retry_window: timedelta
    revocation_time: timedelta | None


DEFAULT_RECORD_TTL = "3s"
"""Default of `record_life`. Look-ups may name a failed entry for that long. Records are renewed
twice within it."""

RESTART_SETTINGS = (
    "name",
    "zone",
    "region",
    "callers",
    "readiness",
    "lookups",
    "operators",
    "peers",
    "proxy",
    "store",
)
"""Settings that take effect only after a restart: the identity of the process, and its
addresses."""


def load_settings(text: str) -> Result[GatewaySettings, tuple[Mistake, ...]]:
    """Parse and check the text of a settings file.

    Returns
    -------
    Result
        The settings, or every mistake with its path.
    """
    return load_typed(GatewaySettings, text)


def parse_bounds(cfg: GatewaySettings) -> Bounds:
    """Return the time limits of checked settings."""
    revocation = cfg.get("revocation_time")
    return Bounds(
        stop_time=parse_duration(cfg["stop_time"]),
        drain_time=parse_duration(cfg["drain_time"]),
        lookup_ttl=parse_duration(cfg["lookup_life"]),
        record_ttl=parse_duration(cfg.get("record_life", DEFAULT_RECORD_TTL)),
        retry_window=parse_duration(cfg["retries"]["window"]),
        revocation_time=None if revocation is None else parse_duration(revocation),
    )


def cold_limit(cfg: GatewaySettings) -> ColdLimit:
    """Return the limit on requests to cold endpoints."""
    return ColdLimit(cfg["cold"]["overage"], cfg["cold"]["slack"])


def count_window(bounds: Bounds) -> timedelta:
    """Return the time for which an entry that is gone counts in the division of limits."""
    return LAPSED_SHARE_TIME + bounds.retry_window
