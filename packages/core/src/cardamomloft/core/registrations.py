"""What entries learn from the control store: the configuration, upstreams, drained zones, entries.

Each item of the store becomes one fact of these types, decoded where it is read. The book of
upstreams applies them and tells which endpoints may get new work.
"""

import typing as t
from datetime import timedelta

from cardamomloft.core.routes import RoutePlan

RENEWAL_GRACE = timedelta(milliseconds=2100)
"""How long registrations that lapsed while the store was away may take to come back.

The platform promises about 2 s after the store's return, which is noticed up to 0.7 s late; in
all this must stay below the 3 s after which a leaving endpoint counts against an entry again.
"""


class UpstreamIncarnation(t.NamedTuple):
    """One life of an endpoint: a new one under the same id holds and knows nothing of before."""

    upstream_id: str
    started_ms: int


class Registration(t.NamedTuple):
    """One life of an upstream endpoint, as it describes itself in the store.

    `cold_left` is how long it said that it will be cold, counted from when the registration was
    written. An endpoint may start again under its old `id`: `started_ms`, the Unix millisecond of
    its start, tells its lives apart; 0 where endpoints don't say it and ids are new each time.
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
        """What tells this life from others under the same id."""
        return UpstreamIncarnation(self.id, self.started_ms)


class EntryRecord(t.NamedTuple):
    """One running entry, as it records itself in the store.

    `address` is for callers. `peers` is for other entries, empty if it takes nothing from them.
    """

    name: str
    address: str
    zone: str
    region: str
    peers: str = ""


class PlanRead(t.NamedTuple):
    """The configuration as it now is."""

    plan: RoutePlan


class UpstreamRegistered(t.NamedTuple):
    """An endpoint is registered, newly or with other values."""

    registration: Registration


class UpstreamWithdrawn(t.NamedTuple):
    """The registration of endpoint `id` is no longer there."""

    id: str


class UpstreamUnreadable(t.NamedTuple):
    """The registration of endpoint `id` can't be decoded: it names no endpoint to use."""

    id: str
    detail: str


class ZoneDrained(t.NamedTuple):
    """Endpoints of `zone` must get nothing more."""

    zone: str


class ZoneRestored(t.NamedTuple):
    """Endpoints of `zone` may be used again."""

    zone: str


class EntryRecorded(t.NamedTuple):
    """An entry is there."""

    record: EntryRecord


class EntryWithdrawn(t.NamedTuple):
    """The record of entry `name` is gone."""

    name: str


class Unreadable(t.NamedTuple):
    """The item under `key` can't be decoded; the last good state of it stays."""

    key: str
    detail: str


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
