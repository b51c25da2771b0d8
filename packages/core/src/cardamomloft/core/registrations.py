"""Facts read from the control store: the configuration, upstreams, drained zones and entries.

Each item of the store is decoded into one fact where it is read. The names of these types and of
their fields are visible outside the process: the log writes facts out, and entries store their
records under the field names.
"""

import typing as t
from datetime import timedelta

from cardamomloft.core.routes import ClientAccount, RoutePlan

RENEWAL_GRACE = timedelta(milliseconds=2100)
"""Grace period after the store's return in which lapsed registrations may be renewed.

The platform promises renewal about 2 s after the store's return, which is detected up to 0.7 s
late. The total must stay below the 3 s after which sending to a leaving endpoint counts as an
error of the entry.
"""


class UpstreamIncarnation(t.NamedTuple):
    """Identifies one incarnation of an endpoint; a later one with the same id shares no state."""

    upstream_id: str
    started_ms: int


class Registration(t.NamedTuple):
    """One incarnation of an upstream endpoint, as it registered itself in the store.

    `cold_left` is the announced remaining time for which it is cold, counted from when the
    registration was written. An endpoint may restart under its old `id`: `started_ms`, the Unix
    time of its start in milliseconds, distinguishes its incarnations. It is 0 on platforms where
    endpoints don't report it and each start has a new id.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    cold_left: timedelta
    started_ms: int = 0

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Identifies this incarnation among all with the same id."""
        return UpstreamIncarnation(self.id, self.started_ms)


class EntryRecord(t.NamedTuple):
    """One running entry, as it records itself in the store.

    `address` is for callers. `peers` is the address for other entries, empty if it accepts no
    messages from them. `proxy` is the address at which it accepts requests that other entries can't
    send to endpoints, empty if it doesn't, and `proxy_token` the secret that these must state.
    """

    name: str
    address: str
    zone: str
    region: str
    peers: str = ""
    proxy: str = ""
    proxy_token: str = ""


class PlanRead(t.NamedTuple):
    """The present configuration."""

    plan: RoutePlan


class UpstreamRegistered(t.NamedTuple):
    """An endpoint was registered, or its registration has changed."""

    registration: Registration


class UpstreamWithdrawn(t.NamedTuple):
    """The registration of endpoint `id` was removed."""

    id: str


class UpstreamUnreadable(t.NamedTuple):
    """The registration of endpoint `id` can't be decoded, so the endpoint must not be used."""

    id: str
    detail: str


class ZoneDrained(t.NamedTuple):
    """Endpoints of `zone` must not get new requests."""

    zone: str


class ZoneRestored(t.NamedTuple):
    """Endpoints of `zone` may be used again."""

    zone: str


class EntryRecorded(t.NamedTuple):
    """An entry was recorded, or its record has changed."""

    record: EntryRecord


class EntryWithdrawn(t.NamedTuple):
    """The record of entry `name` was removed."""

    name: str


class UnreadablePlan(t.NamedTuple):
    """What is known of a configuration that can't be put in force.

    Attributes
    ----------
    number
        Its number, None if that can't be read.
    accounts
        Its client accounts, None if they can't be read.
    """

    number: int | None = None
    accounts: tuple[ClientAccount, ...] | None = None


class Unreadable(t.NamedTuple):
    """The item under `key` can't be decoded; its last valid state remains in force.

    If the item is the configuration, `plan` is what is known of it: the accounts in force may be
    outdated.
    """

    key: str
    detail: str
    plan: UnreadablePlan | None = None


Fact = (
    PlanRead
    | UpstreamRegistered
    | UpstreamWithdrawn
    | UpstreamUnreadable
    | ZoneDrained
    | ZoneRestored
    | EntryRecorded
    | EntryWithdrawn
    | Unreadable
)
