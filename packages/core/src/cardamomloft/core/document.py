"""The types of the configuration document.

The document is plain JSON, which operators can keep in version control. The types declare the
valid ranges; :func:`cardamomloft.core.checking.check_document` reports all mistakes of a document
at once, each with its path.
"""

import typing as t
from typing import NotRequired

from cardamomloft.core.fields import Limits, strict
from typing_extensions import TypedDict

FORMAT = 1

Name = t.Annotated[str, Limits(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = t.Annotated[str, Limits(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Percent = t.Annotated[float, Limits(ge=0, le=100)]
PriorityName = t.Literal["critical", "normal", "bulk"]
DrainKind = t.Literal["region", "zone", "upstream", "entry"]


@strict
class EntryRow(TypedDict):
    """One seat of the roster, with the addresses for callers, peers and operators."""

    zone: Name
    site: NotRequired[Name]
    callers: Address
    peers: Address
    operators: Address


@strict
class UpstreamRow(TypedDict):
    """One upstream endpoint with its limits on concurrent requests and connections."""

    zone: Name
    address: Address
    slots: t.Annotated[int, Limits(ge=1, le=10_000)]
    connections: t.Annotated[int, Limits(ge=1, le=100_000)]


@strict
class ServiceRow(TypedDict):
    """One service; requests whose path is under `prefix` belong to it.

    `shift_cap_percent_per_s` limits how fast traffic of the service may move between places, in
    percentage points per second. `spill_percent` limits which percentage of a region's slots the
    entries of all other regions may use together.
    """

    prefix: t.Annotated[str, Limits(pattern=r"^/[A-Za-z0-9._~/-]*$")]
    priority: NotRequired[PriorityName]
    deadline_ms: t.Annotated[int, Limits(ge=1, le=600_000)]
    max_deadline_ms: t.Annotated[int, Limits(ge=1, le=600_000)]
    idempotent_methods: NotRequired[list[str]]
    max_body_bytes: NotRequired[t.Annotated[int, Limits(ge=0)]]
    shift_cap_percent_per_s: NotRequired[t.Annotated[float, Limits(gt=0, le=100)]]
    spill_percent: NotRequired[Percent]
    retry_percent: NotRequired[Percent]
    upstreams: dict[Name, UpstreamRow]


@strict
class LinkRow(TypedDict):
    """The bandwidth limit from the entries of one region to the upstreams of another."""

    origin: Name
    target: Name
    bytes_per_s: t.Annotated[int, Limits(ge=1)]


@strict
class ClientsRow(TypedDict):
    """The site of each client block; `chunks` lists the digests of a packed map instead."""

    default: Name
    blocks: NotRequired[dict[str, Name]]
    chunks: NotRequired[list[str]]


@strict
class When(TypedDict):
    """The conditions of a rule; all given ones must hold, and without any it always matches."""

    service: NotRequired[Name]
    method: NotRequired[list[str]]
    path: NotRequired[str]
    block: NotRequired[str]
    zone: NotRequired[Name]
    region: NotRequired[Name]
    headers: NotRequired[dict[str, str]]
    priority: NotRequired[PriorityName]
    idempotent: NotRequired[bool]


@strict
class PlaceRow(TypedDict):
    """Exactly one of a region and a zone, with its weight."""

    region: NotRequired[Name]
    zone: NotRequired[Name]
    weight: t.Annotated[int, Limits(ge=0, le=1000)]


@strict
class Then(TypedDict):
    """The action of a rule: refuse with a text, or set places and policies."""

    refuse: NotRequired[str]
    places: NotRequired[list[PlaceRow]]
    deadline_ms: NotRequired[t.Annotated[int, Limits(ge=1, le=600_000)]]
    priority: NotRequired[PriorityName]
    attempts: NotRequired[t.Annotated[int, Limits(ge=1, le=5)]]
    spill: NotRequired[list[Name]]


@strict
class RuleRow(TypedDict):
    """One rule; the first rule whose conditions match a request applies to it."""

    name: Name
    when: When
    then: Then


@strict
class DrainRow(TypedDict):
    """A planned drain of a region, zone, upstream or entry; `since` is an ISO 8601 instant."""

    kind: DrainKind
    since: str
    reason: NotRequired[str]


@strict
class MoveRow(TypedDict):
    """A planned move of a fraction of a service's traffic from one zone to another.

    `percent` of the traffic that the rules send to `origin` goes to `target` instead.
    """

    service: Name
    origin: Name
    target: Name
    percent: Percent
    cap_percent_per_s: t.Annotated[float, Limits(gt=0, le=100)]
    since: str


@strict
class Document(TypedDict):
    """The whole configuration that operators keep in version control."""

    format: t.Literal[1]
    deployment: Name
    regions: dict[Name, list[Name]]
    entries: dict[Name, EntryRow]
    services: dict[Name, ServiceRow]
    clients: ClientsRow
    rules: list[RuleRow]
    links: NotRequired[list[LinkRow]]
    drains: NotRequired[dict[Name, DrainRow]]
    moves: NotRequired[dict[Name, MoveRow]]


def regions_of_zones(document: Document) -> dict[str, str]:
    """Return the region of each zone."""
    return {zone: region for region, zones in document["regions"].items() for zone in zones}


class Revision(t.NamedTuple):
    """A document recorded in the store under `number`, which increases with each revision."""

    number: int
    document: Document


class Mistake(t.NamedTuple):
    """One validation error of a document or settings file; `path` is dotted, from the root."""

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path or '(root)'}: {self.text}"
